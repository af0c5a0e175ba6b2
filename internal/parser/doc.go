// Package parser parses settings, inventory and rules from INI files and reports all faults of a file in one run.
package parser
