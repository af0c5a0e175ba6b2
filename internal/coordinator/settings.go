package coordinator

import (
	"reflect"

	"github.com/coltsfootscale/coltsfootscale/internal/parser"
)

func equalSettings(a, b *parser.EntrySettings) bool { return reflect.DeepEqual(a, b) }
