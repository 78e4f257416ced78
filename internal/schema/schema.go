// Package schema provides the JSON Schema of the operators' document, for use in editors.
package schema

import _ "embed" // Embeds document.json, a separate file so that editors can use it.

// Document is the JSON Schema of the document.
//
//go:embed document.json
var Document string
