// Package registrar keeps which targets exist, what role they have and which of them are leaving.
package registrar
