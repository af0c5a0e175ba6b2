// Package refuser writes error responses in the JSON form of the chat completions API. They also say whether the
// request ran and when to retry it.
package refuser
