// Package inspector finds responses that are not in order, some of which net/http accepts, and names the reasons for which responses are refused.
package inspector
