package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: a log with keyed topics of one partition each.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	topics   map[string]*topic
	appended chan struct{}
}

type topic struct {
	records []storeRecord
	newest  map[string]int
}

type storeRecord struct {
	key   string
	value []byte
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, topics: make(map[string]*topic), appended: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.append)
	mux.HandleFunc("GET /v1/log-read", s.read)
	mux.HandleFunc("GET /v1/log-newest", s.listNewest)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() { _ = s.listener.Close() }

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]int)}
		s.topics[name] = t
	}
	return t
}

// put appends a record; without a value it drops the key. With at, the topic must end there.
func (s *store) put(name, key string, value []byte, at string) (offset int, appended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset = len(t.records)
	if at != "" && at != strconv.Itoa(offset) {
		return offset, false
	}
	t.records = append(t.records, storeRecord{key, value})
	t.newest[key] = offset
	close(s.appended)
	s.appended = make(chan struct{})
	return offset, true
}

// putJSON appends a record of the operator or of an engine.
func (s *store) putJSON(name, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.put(name, key, raw, "")
}

// recordPrefix is the length of the length of a record.
const recordPrefix = 4

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil || len(raw) < recordPrefix+1 || len(raw) != recordPrefix+int(binary.BigEndian.Uint32(raw)) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	rest := raw[recordPrefix:]
	key, value := rest[1:1+int(rest[0])], rest[1+int(rest[0]):]
	if len(value) == 0 {
		value = nil
	}
	offset, ok := s.put(r.URL.Query().Get("topic"), string(key), value, r.URL.Query().Get("at"))
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]int{"end": offset})
		return
	}
	writeJSON(w, map[string]int{"offset": offset, "end": offset + 1})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// Without the parameter the call does not wait.
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		page, more, appended := s.page(q.Get("topic"), from)
		if more || wait == 0 {
			_, _ = w.Write(page)
			return
		}
		select {
		case <-appended:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) page(name string, from int) (page []byte, more bool, appended <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	page = binary.BigEndian.AppendUint64(page, uint64(len(t.records)))
	page = binary.BigEndian.AppendUint64(page, 0)
	for _, rec := range t.records[min(from, len(t.records)):] {
		page = binary.BigEndian.AppendUint32(page, uint32(1+len(rec.key)+len(rec.value)))
		page = append(page, byte(len(rec.key)))
		page = append(append(page, rec.key...), rec.value...)
		more = true
	}
	return page, more, s.appended
}

func (s *store) listNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	items, end := []item{}, len(t.records)
	for key, offset := range t.newest {
		if value := t.records[offset].value; value != nil {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(value), offset})
		}
	}
	s.mu.Unlock()
	writeJSON(w, map[string]any{"items": items, "has_more": false, "end": end})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the reader has left.
	_ = json.NewEncoder(w).Encode(v)
}
