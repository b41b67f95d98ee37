package agentd

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"go.uber.org/zap"

	"persimmonstage/core/shards"
	"persimmonstage/io/bulk"
	"persimmonstage/io/codec"
	"persimmonstage/io/frame"
	"persimmonstage/io/wire"
)

const recordsTimeout = 5 * time.Second

// serve answers an entry's request on its own stream.
func (d *Daemon) serve(_ *bulk.Mux, first *wire.Bulk, s net.Conn) {
	defer s.Close()
	request, ok := first.Body.(*wire.Bulk_Records)
	if !ok {
		d.log.Warn("bulk stream refused", zap.String("reason", "unexpected message"))
		return
	}
	answer, err := d.records(request.Records)
	if err != nil {
		d.log.Warn("records request failed", zap.Error(err))
		return
	}
	_ = frame.Write(s, &wire.Bulk{Body: &wire.Bulk_RecordsAnswer{RecordsAnswer: answer}})
}

// records adopts the requesting entry's map first, so that nothing starts for an earlier owner after the answer.
func (d *Daemon) records(request *wire.Records) (*wire.RecordsAnswer, error) {
	var m shards.Map
	if err := json.Unmarshal(request.Map, &m); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordsTimeout)
	defer cancel()
	answer := &wire.RecordsAnswer{}
	ran := d.loop.Call(ctx, func(time.Time) {
		d.adopt(m.At(request.MapVersion))
		answer.MapVersion = d.fence.Version()
		for _, shard := range request.Shards {
			answer.Records = append(answer.Records, codec.EncodeRecords(int(shard), d.ledger.Shard(int(shard)))...)
		}
	})
	if !ran {
		return nil, context.DeadlineExceeded
	}
	return answer, nil
}
