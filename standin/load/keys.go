package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Times and sizes of the pool of issued keys.
const (
	keyBatch      = 50 // keys asked for at once
	keyLowWater   = 100
	keyPeriod     = 200 * time.Millisecond
	keyTimeout    = time.Second
	maxKeysAnswer = 64 << 10 // bytes
)

// keyPool holds keys of one service that nodes issued ahead of need. It is safe
// for concurrent use.
type keyPool struct {
	mu   sync.Mutex
	keys []string
}

// take returns the pool's oldest key, or a new UUIDv7 if the pool is empty.
func (p *keyPool) take() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.keys) == 0 {
		return uuid.Must(uuid.NewV7()).String()
	}
	key := p.keys[0]
	p.keys = p.keys[1:]
	return key
}

func (p *keyPool) add(keys []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keys = append(p.keys, keys...)
}

func (p *keyPool) low() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.keys) < keyLowWater
}

// refill keeps the pool filled from random nodes until the context ends.
func (s *Source) refill(ctx context.Context, service string, pool *keyPool) {
	for sleep(ctx, keyPeriod) {
		for pool.low() && ctx.Err() == nil {
			keys, err := s.fetchKeys(ctx, service)
			if err != nil {
				break
			}
			pool.add(keys)
		}
	}
}

func (s *Source) fetchKeys(ctx context.Context, service string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, keyTimeout)
	defer cancel()
	url := "http://" + s.pick(s.settings.Entries) + "/keys/" + service + "?count=" + strconv.Itoa(keyBatch)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s: status %d", url, response.StatusCode)
	}
	var issued struct{ Keys []string }
	err = json.NewDecoder(io.LimitReader(response.Body, maxKeysAnswer)).Decode(&issued)
	if err == nil && len(issued.Keys) == 0 {
		err = errors.New("no keys")
	}
	return issued.Keys, err
}
