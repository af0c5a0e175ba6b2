// Package imitator holds small stand-ins for the platform, model engines and plain services, with faults and judges.
package imitator
