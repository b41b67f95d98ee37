package confap

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"persimmonstage/core/audit"
	"persimmonstage/core/cfgerr"
	"persimmonstage/core/delta"
	"persimmonstage/core/fold"
	"persimmonstage/core/rules"
	"persimmonstage/core/schema"
	"persimmonstage/core/vers"
	"persimmonstage/io/conf"
)

// Path is the HTTP path of the handler.
const Path = "/v1/admin/config"

// OpenBootstrap is the bootstrap value that lets anyone publish the first version.
const OpenBootstrap = "open"

const (
	// MaxBodyBytes is the maximum size of a publication, which is larger than its document because of JSON escapes.
	MaxBodyBytes = 2 * schema.MaxDocumentBytes

	maxHistory     = 1000
	maxAuthorBytes = 63
	publishTimeout = 10 * time.Second
	documentName   = "document"
)

// source provides the configuration versions and publishes new ones.
type source interface {
	Current() (int64, *rules.Rules)
	Entries(n int) []audit.Entry
	At(version int64) (fold.Document, bool)
	Changed(from, to int64) ([]delta.Change, bool)
	Publish(ctx context.Context, id string, base int64, author string, doc fold.Document) (int64, error)
}

// Handler serves operators' requests to read, publish and compare configuration versions.
type Handler struct {
	source    source
	bootstrap string
}

// New returns a Handler; bootstrap is the hash of the token that may publish the first version, OpenBootstrap, or "" if
// nobody may.
func New(src source, bootstrap string) *Handler {
	return &Handler{source: src, bootstrap: bootstrap}
}

// Serve handles one request on Path with the given bearer token and returns an HTTP status and a JSON body.
func (h *Handler) Serve(ctx context.Context, method string, query url.Values, token string, body []byte) (int, []byte) {
	operator, ok := h.operator(token)
	if !ok {
		return refuse(http.StatusUnauthorized, "", "Authorization: an operator's token is required")
	}
	switch {
	case method == http.MethodPut:
		return h.put(ctx, operator, body)
	case method != http.MethodGet:
		return refuse(http.StatusMethodNotAllowed, "", "only GET and PUT")
	case query.Has("from") || query.Has("to"):
		return h.diff(query)
	}
	return h.get(query)
}

// operator checks the token against the version in force, or against the bootstrap token before the first version.
func (h *Handler) operator(token string) (string, bool) {
	version, r := h.source.Current()
	if version > 0 {
		return r.Operator(token)
	}
	same := subtle.ConstantTimeCompare([]byte(rules.HashToken(token)), []byte(h.bootstrap)) == 1
	return "bootstrap", same || h.bootstrap == OpenBootstrap
}

type change struct {
	Key     string `json:"key"`
	Literal string `json:"literal,omitempty"`
	Was     string `json:"was,omitempty"`
}

type entry struct {
	Version int64     `json:"version"`
	ID      string    `json:"id"`
	Author  string    `json:"author"`
	When    time.Time `json:"when"`
	Changes []change  `json:"changes"`
}

type versionBody struct {
	Version  int64   `json:"version"`
	Document string  `json:"document"`
	History  []entry `json:"history,omitempty"`
}

func (h *Handler) get(query url.Values) (int, []byte) {
	current, _ := h.source.Current()
	version, err := intParam(query, "version", current, 1<<62)
	if err != nil {
		return refuse(http.StatusBadRequest, "version", err.Error())
	}
	n, err := intParam(query, "history", 0, maxHistory)
	if err != nil {
		return refuse(http.StatusBadRequest, "history", err.Error())
	}
	doc, ok := h.source.At(version)
	if !ok {
		return refuse(http.StatusNotFound, "version", fmt.Sprintf("version %d is not remembered; %d is in force", version, current))
	}
	out := versionBody{Version: version, Document: string(doc.TOML())}
	for _, e := range h.source.Entries(int(n)) {
		out.History = append(out.History, entry{
			Version: e.Version(), ID: e.ID(), Author: e.Author(), When: e.When(), Changes: changes(e.Changes(), e.Undo()),
		})
	}
	return respond(http.StatusOK, out)
}

type diffBody struct {
	From    int64    `json:"from"`
	To      int64    `json:"to"`
	Changes []change `json:"changes"`
}

func (h *Handler) diff(query url.Values) (int, []byte) {
	current, _ := h.source.Current()
	from, err := intParam(query, "from", current, 1<<62)
	if err != nil {
		return refuse(http.StatusBadRequest, "from", err.Error())
	}
	to, err := intParam(query, "to", current, 1<<62)
	if err != nil {
		return refuse(http.StatusBadRequest, "to", err.Error())
	}
	forward, ok := h.source.Changed(from, to)
	if !ok {
		return refuse(http.StatusNotFound, "from", fmt.Sprintf("version %d or %d is not remembered; %d is in force", from, to, current))
	}
	backward, _ := h.source.Changed(to, from)
	return respond(http.StatusOK, diffBody{From: from, To: to, Changes: changes(forward, backward)})
}

func changes(forward, backward []delta.Change) []change {
	was := make(map[string]string, len(backward))
	for _, c := range backward {
		was[c.Name()] = c.Literal()
	}
	out := make([]change, 0, len(forward))
	for _, c := range forward {
		out = append(out, change{Key: c.Name(), Literal: c.Literal(), Was: was[c.Name()]})
	}
	return out
}

type publication struct {
	ID       string `json:"id"`
	Base     *int64 `json:"base"`
	Author   string `json:"author"`
	Document string `json:"document"`
}

type published struct {
	Version int64 `json:"version"`
}

func (h *Handler) put(ctx context.Context, operator string, body []byte) (int, []byte) {
	if len(body) > MaxBodyBytes {
		return refuse(http.StatusRequestEntityTooLarge, "", fmt.Sprintf("body of %d bytes: must be at most %d", len(body), MaxBodyBytes))
	}
	p, fault := readPublication(body, operator)
	if fault != nil {
		return respond(http.StatusBadRequest, fault)
	}
	doc, fault := readDocument(p.Document)
	if fault != nil {
		return respond(http.StatusBadRequest, fault)
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	version, err := h.source.Publish(ctx, p.ID, *p.Base, p.Author, doc)
	if err != nil {
		return publishError(err, p.ID)
	}
	return respond(http.StatusOK, published{Version: version})
}

// readPublication parses a publication; the author defaults to the operator, whose name is appended to a different author.
func readPublication(body []byte, operator string) (publication, *cfgerr.Error) {
	var p publication
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&p); err != nil {
		return p, cfgerr.New("body", 0, "", err.Error())
	}
	switch {
	case p.Base == nil || *p.Base < 0:
		return p, cfgerr.New("body", 0, "base", "is required: the version that this one refines, 0 for the first")
	case len(p.Author) > maxAuthorBytes:
		return p, cfgerr.New("body", 0, "author", fmt.Sprintf("%d bytes: must be at most %d", len(p.Author), maxAuthorBytes))
	case p.Author == "":
		p.Author = operator
	case p.Author != operator && operator != rules.Anyone:
		p.Author += " (token of " + operator + ")"
	}
	if p.ID == "" {
		p.ID = uuid.NewString()
	}
	if _, err := uuid.Parse(p.ID); err != nil {
		return p, cfgerr.New("body", 0, "id", "must be a UUID")
	}
	return p, nil
}

func readDocument(text string) (fold.Document, *cfgerr.Error) {
	doc, err := fold.Parse(documentName, []byte(text))
	if err != nil {
		var fault *cfgerr.Error
		if !errors.As(err, &fault) {
			fault = cfgerr.New(documentName, 0, "", err.Error())
		}
		return doc, fault
	}
	faults := append(schema.Operators().Check(doc), schema.CheckMerged(doc)...)
	if len(faults) > 0 {
		return doc, faults[0]
	}
	return doc, nil
}

type conflictBody struct {
	Current int64    `json:"current"`
	Changed []string `json:"changed"`
	Reason  string   `json:"reason"`
}

type unavailable struct {
	Reason         string `json:"reason"`
	ID             string `json:"id"`
	MaybePublished bool   `json:"maybe-published"`
}

func publishError(err error, id string) (int, []byte) {
	var conflict *vers.ConflictError
	if errors.As(err, &conflict) {
		names := conflict.Changed()
		if names == nil {
			names = []string{}
		}
		return respond(http.StatusConflict, conflictBody{Current: conflict.Current(), Changed: names, Reason: conflict.Error()})
	}
	var reused *conf.ReusedError
	if errors.As(err, &reused) {
		return refuse(http.StatusBadRequest, "id", reused.Error())
	}
	var unreachable *conf.UnavailableError
	if errors.As(err, &unreachable) && !unreachable.MaybePublished() {
		return respond(http.StatusServiceUnavailable, unavailable{Reason: unreachable.Error(), ID: id})
	}
	return respond(http.StatusGatewayTimeout, unavailable{Reason: err.Error(), ID: id, MaybePublished: true})
}

// intParam parses an integer query parameter between 0 and limit.
func intParam(query url.Values, name string, fallback, limit int64) (int64, error) {
	text := query.Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > limit {
		return 0, errors.Newf("%q: must be an integer between 0 and %d", text, limit)
	}
	return n, nil
}

func refuse(status int, key, reason string) (int, []byte) {
	return respond(status, cfgerr.New("request", 0, key, reason))
}

func respond(status int, body any) (int, []byte) {
	data, err := json.Marshal(body)
	if err != nil {
		return http.StatusInternalServerError, []byte(`{"reason":"the answer has no encoding"}`)
	}
	return status, data
}
