// Package quarantiner finds prompt parts under which targets crash, from which requests broke at crashes and which
// completed, and denies requests that contain them.
package quarantiner
