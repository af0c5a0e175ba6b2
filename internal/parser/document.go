package parser

import (
	"fmt"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// document collects the faults of one INI file while its sections are read.
type document struct {
	file   string
	ini    *ini.File
	faults Faults
	// readKeys holds the keys that were read, by section name.
	readKeys map[string]map[string]bool
}

func openDocument(file string, data []byte) (*document, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: false, Insensitive: false}, data)
	d := &document{file: file, ini: f, readKeys: map[string]map[string]bool{}}
	if err != nil {
		d.addFault("", "", err.Error(), "INI syntax")
		return nil, d.faults
	}
	return d, nil
}

func (d *document) addFault(section, key, value, allowed string) {
	d.faults = append(d.faults, Fault{File: d.file, Section: section, Key: key, Value: value, Allowed: allowed})
}

// sectionsOfKind returns the sections with headings of the form "[Kind ID]", in file order.
func (d *document) sectionsOfKind(kind string) []*section {
	var sections []*section
	for _, s := range d.ini.Sections() {
		id, ok := strings.CutPrefix(s.Name(), kind+" ")
		if ok {
			sections = append(sections, d.newSection(s, strings.TrimSpace(id)))
		}
	}
	return sections
}

// sectionNamed returns the section with the given name. A section that the file lacks is empty.
func (d *document) sectionNamed(name string) *section {
	return d.newSection(d.ini.Section(name), name)
}

func (d *document) newSection(s *ini.Section, id string) *section {
	if d.readKeys[s.Name()] == nil {
		d.readKeys[s.Name()] = map[string]bool{}
	}
	return &section{d: d, s: s, ID: id}
}

// finish adds a fault for each section and key that was not read, and returns all faults as an error.
func (d *document) finish(allowedSections string) error {
	for _, s := range d.ini.Sections() {
		readKeys, known := d.readKeys[s.Name()]
		if !known && (s.Name() != ini.DefaultSection || len(s.Keys()) > 0) {
			d.addFault(s.Name(), "", "", "one of the sections "+allowedSections)
			continue
		}
		for _, k := range s.Keys() {
			if !readKeys[k.Name()] {
				d.addFault(s.Name(), k.Name(), k.Value(), "one of the keys "+strings.Join(sortedKeys(readKeys), ", "))
			}
		}
	}
	return d.faults.errorOrNil()
}

func sortedKeys(set map[string]bool) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// section reads typed values and adds a fault for each invalid one.
type section struct {
	d  *document
	s  *ini.Section
	ID string
}

func (s *section) raw(key, fallback string) string {
	s.d.readKeys[s.s.Name()][key] = true
	if !s.s.HasKey(key) {
		return fallback
	}
	return s.s.Key(key).String()
}

func (s *section) addFault(key, value, allowed string) {
	s.d.addFault(s.s.Name(), key, value, allowed)
}

func (s *section) text(key, fallback string) string { return s.raw(key, fallback) }

func (s *section) required(key string) string {
	v := s.raw(key, "")
	if v == "" {
		s.addFault(key, v, "a value that is not empty")
	}
	return v
}

func (s *section) hostPort(key, fallback string) string {
	v := s.raw(key, fallback)
	host, _, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		s.addFault(key, v, "an IP number and port, such as 127.0.0.1:8080")
	}
	return v
}

func (s *section) url(key string) string {
	v := s.raw(key, "")
	u, err := url.Parse(v)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		s.addFault(key, v, "a URL of the form http://HOST:PORT")
	}
	return v
}

func (s *section) integer(key string, fallback, low, high int64) int64 {
	v := s.raw(key, strconv.FormatInt(fallback, 10))
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < low || n > high {
		s.addFault(key, v, fmt.Sprintf("a whole number from %d to %d", low, high))
	}
	return n
}

func (s *section) milliseconds(key string, fallback time.Duration, low, high int64) time.Duration {
	return time.Duration(s.integer(key, fallback.Milliseconds(), low, high)) * time.Millisecond
}

func (s *section) number(key string, fallback, low, high float64) float64 {
	v := s.raw(key, strconv.FormatFloat(fallback, 'g', -1, 64))
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= low && n <= high) {
		s.addFault(key, v, fmt.Sprintf("a number from %g to %g", low, high))
	}
	return n
}

func (s *section) boolean(key string, fallback bool) bool {
	v := s.raw(key, strconv.FormatBool(fallback))
	b, err := strconv.ParseBool(v)
	if err != nil {
		s.addFault(key, v, "true or false")
	}
	return b
}

func (s *section) oneOf(key, fallback string, values map[string]int32) int32 {
	v := s.raw(key, fallback)
	n, ok := values[v]
	if !ok {
		names := make([]string, 0, len(values))
		for name := range values {
			names = append(names, name)
		}
		slices.Sort(names)
		s.addFault(key, v, strings.Join(names, ", "))
	}
	return n
}

// list returns the comma-separated values of a key, each of which must be in allowed; expected describes the allowed values
// in a fault. A key without a value is a fault, because no values would mean the same as no key: no restriction.
func (s *section) list(key string, allowed map[string]bool, expected string) []string {
	var values []string
	for _, v := range strings.Split(s.raw(key, ""), ",") {
		v = strings.TrimSpace(v)
		if v == "" {
			continue
		}
		if !allowed[v] {
			s.addFault(key, v, expected)
		}
		values = append(values, v)
	}
	if len(values) == 0 && s.s.HasKey(key) {
		s.addFault(key, s.raw(key, ""), "one or more "+expected)
	}
	return values
}

func (s *section) reference(key string, allowed map[string]bool, expected string) string {
	v := s.raw(key, "")
	if !allowed[v] {
		s.addFault(key, v, expected)
	}
	return v
}
