// Package parser reads settings, inventory and rules from INI files and names every fault in one run.
package parser
