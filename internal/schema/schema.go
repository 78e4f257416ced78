// Package schema holds the JSON Schema of the operators' document, for editors.
package schema

import _ "embed" // The schema is a file of its own, so that editors can use it.

// Document is the JSON Schema of the document.
//
//go:embed document.json
var Document string
