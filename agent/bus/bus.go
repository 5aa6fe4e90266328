// Package bus delivers announcements of state changes inside a node to subscribers,
// over watermill. It doesn't carry calls.
package bus

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/cockroachdb/errors"
)

// Topic groups announcements by their subject.
type Topic string

// The topics of a node.
const (
	TopicConfig     Topic = "config"     // a configuration was accepted or refused
	TopicMembership Topic = "membership" // an instance joined, changed or was lost
	TopicTarget     Topic = "target"     // the local target's state changed
	TopicLimit      Topic = "limit"      // the local target's concurrency limit or level changed
	TopicPlatform   Topic = "platform"   // the platform became unavailable or available again
	TopicQuarantine Topic = "quarantine" // a call became suspect of crashing targets, was quarantined or cleared
)

// Topics returns all topics.
func Topics() []Topic {
	return []Topic{TopicConfig, TopicMembership, TopicTarget, TopicLimit, TopicPlatform, TopicQuarantine}
}

// bufferedAnnouncements is the number of announcements buffered per subscriber.
const bufferedAnnouncements = 1024

// Announcement describes one change, for the subscribers in the same process.
type Announcement struct {
	Topic   Topic     `json:"topic"`
	Time    time.Time `json:"time"`
	What    string    `json:"what"`              // kind of change, such as "member-ready"
	Subject string    `json:"subject,omitempty"` // instance, service or object that changed
	Service string    `json:"service,omitempty"`
	Detail  string    `json:"detail,omitempty"`
	Value   float64   `json:"value,omitempty"` // new limit, version or similar
}

// Bus delivers announcements within one process.
type Bus struct {
	channel *gochannel.GoChannel
}

// New returns an open bus.
func New() *Bus {
	config := gochannel.Config{OutputChannelBuffer: bufferedAnnouncements}
	return &Bus{channel: gochannel.NewGoChannel(config, watermill.NopLogger{})}
}

// Publish delivers an announcement to the subscribers of its topic, without waiting
// for them to handle it.
func (b *Bus) Publish(a Announcement) error {
	payload, err := json.Marshal(a)
	if err != nil {
		return errors.Wrapf(err, "announce %s", a.What)
	}
	return b.channel.Publish(string(a.Topic), message.NewMessage(watermill.NewULID(), payload))
}

// Subscribe calls handle for each announcement of the topic, in a separate goroutine,
// until the context ends or the bus is closed.
func (b *Bus) Subscribe(ctx context.Context, topic Topic, handle func(Announcement)) error {
	messages, err := b.channel.Subscribe(ctx, string(topic))
	if err != nil {
		return errors.Wrapf(err, "subscribe to %s", topic)
	}
	go func() {
		for m := range messages {
			var a Announcement
			if err := json.Unmarshal(m.Payload, &a); err == nil {
				handle(a)
			}
			m.Ack()
		}
	}()
	return nil
}

// Close ends all subscriptions.
func (b *Bus) Close() error { return b.channel.Close() }
