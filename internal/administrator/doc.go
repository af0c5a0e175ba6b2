// Package administrator appends configuration and membership changes to the Config stream. It waits until
// configuration changes are in force everywhere.
package administrator
