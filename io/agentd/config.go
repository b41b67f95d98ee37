package agentd

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"persimmonstage/core/rules"
	"persimmonstage/io/bulk"
	"persimmonstage/io/conf"
)

var errNoEntry = errors.New("no entry is connected")

// newSource returns the follower of the operators' configuration, which an agent fetches from the entries.
func (d *Daemon) newSource() *conf.Source {
	return conf.New(conf.Options{Peers: configPeers{d}, Self: d.self.Name, Deliver: d.applyConfig})
}

// configPeers fetches the configuration from a connected entry, chosen at random each time.
type configPeers struct{ d *Daemon }

// Config fetches from one entry what a process at the given version lacks.
func (c configPeers) Config(ctx context.Context, version int64) ([]byte, error) {
	var list []*bulk.Mux
	c.d.loop.Call(ctx, func(time.Time) {
		for _, l := range c.d.links {
			if l.mux != nil {
				list = append(list, l.mux)
			}
		}
	})
	if len(list) == 0 {
		return nil, errNoEntry
	}
	got, err := list[rand.IntN(len(list))].Fetch(ctx, bulk.FetchConfig, version)
	if err != nil {
		return nil, err
	}
	return got.GetData(), nil
}

// applyConfig puts a version of the configuration into force: the weights of teams and kinds, and their urgencies.
func (d *Daemon) applyConfig(version int64, r *rules.Rules) {
	d.log.Info("configuration in force", zap.Int64("version", version))
	before := d.rules
	d.rules = r
	d.loop.Post(func(time.Time) {
		for _, team := range r.TeamsInEither(before) {
			d.core.SetWeight(team, "", int64(r.TeamWeight(team)))
			for _, kind := range r.KindsInEither(before, team) {
				d.core.SetWeight(team, kind, int64(r.KindWeight(team, kind)))
			}
		}
		d.core.SetUrgency(r.Urgency)
	})
}

func (d *Daemon) configVersion() int64 {
	version, _ := d.config.Current()
	return version
}
