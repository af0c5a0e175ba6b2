// Package configurator folds the Config stream into the inventory, rules, keys and members, and indexes them for
// look-ups.
package configurator
