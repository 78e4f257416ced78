// Package platform reads changes from the platform's configuration service, which is read-only.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/bergamotgw/bergamotgw/internal/entry"
	"github.com/bergamotgw/bergamotgw/internal/position"
)

// Limits of a call.
const (
	// WatchWait is how long the platform holds a call while there are no changes.
	WatchWait = 25 * time.Second
	// callTimeout limits a call, in addition to the wait.
	callTimeout = 5 * time.Second
	// maxPageBytes limits the answer to one call.
	maxPageBytes = 2 << 20
)

// Client calls the configuration service. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// Page is the answer to one call.
type Page struct {
	// Epoch counts the returns of the service from a backup, after which it issues former
	// indexes again; 0 if the service does not state it.
	Epoch uint64 `json:"epoch"`
	// Index is the index after which the next call continues.
	Index uint64 `json:"index"`
	// Entries holds the changed values, each once and with its latest text.
	Entries []entry.Entry `json:"entries"`
}

// NewClient returns a client for the service at the base URL.
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{Timeout: WatchWait + callTimeout}}
}

// Changes returns the changes after the index of a position. The platform holds the call until
// there is a change or the wait is over; in that case the page has no entries. It does not hold
// the call if its epoch is another one.
func (c *Client) Changes(ctx context.Context, after position.Position, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	url := fmt.Sprintf("%s/v1/changes?after=%d&epoch=%d&waitMs=%d", c.base, after.Revision, after.Epoch, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Page{}, merry.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Page{}, merry.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Page{}, merry.Errorf("read changes from the platform: status %s", resp.Status)
	}
	var page Page
	err = json.NewDecoder(io.LimitReader(resp.Body, maxPageBytes)).Decode(&page)
	return page, merry.Wrap(err)
}
