// Package answerer writes errors to callers in the usual JSON form, with whether the request ran and when to come back.
package answerer
