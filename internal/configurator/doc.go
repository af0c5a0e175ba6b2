// Package configurator folds the Config stream into inventory, rules, keys and members.
package configurator
