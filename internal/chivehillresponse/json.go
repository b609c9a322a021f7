package chivehillresponse

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// maxNesting bounds how deeply a JSON body may be nested. A body of 1 MiB has room for less.
const maxNesting = 1 << 20

// WholeJSON reports whether all arrays and objects that begin in a JSON body end in it. Unlike
// json.Valid it also takes bodies that are nested more deeply than can be decoded.
func WholeJSON(body []byte) bool {
	decoder := json.NewDecoder(bytes.NewReader(body))
	open := 0
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return open == 0
		}
		if err != nil || open > maxNesting {
			return false
		}
		switch token {
		case json.Delim('['), json.Delim('{'):
			open++
		case json.Delim(']'), json.Delim('}'):
			open--
		}
	}
}
