package configurator

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/parser"
)

// startStatements returns two services, one of them with targets of two
// versions in two data centres, from which moves can begin.
func startStatements() []parser.Statement {
	batch := []parser.Statement{declareService("A", 2), declareService("B", 1)}
	for i := range 8 {
		batch = append(batch, &parser.DeclareTarget{
			Address: jujubegate.Address(fmt.Sprintf("10.0.0.%d:9000", i+1)), Service: parser.Given(jujubegate.Service("A")),
			Shard: parser.Given(i & 1), DataCentre: parser.Given([]jujubegate.DataCentre{"X", "Y"}[i>>1&1]),
			Version: parser.Given([]jujubegate.Version{"v1", "v2"}[i>>2]),
		})
	}
	return batch
}

func declareService(name jujubegate.Service, shards int) *parser.DeclareService {
	return &parser.DeclareService{Name: name, ServiceFields: parser.ServiceFields{
		Shards: parser.Given(shards), Slots: parser.Given(2), Connections: parser.Given(25), ColdLimit: parser.Given(1),
		Deadline: parser.Given(160 * time.Millisecond),
	}}
}

// drawStatement returns a random statement about few names, so that many
// batches refer to each other.
func drawStatement(t *rapid.T) parser.Statement {
	service := jujubegate.Service(rapid.SampledFrom([]string{"A", "A", "A", "A", "B"}).Draw(t, "service"))
	route := jujubegate.Route(rapid.SampledFrom([]string{"r", "s"}).Draw(t, "route"))
	version := jujubegate.Version(rapid.SampledFrom([]string{"v2", "v1", "v2", "v3"}).Draw(t, "version"))
	centre := jujubegate.DataCentre(rapid.SampledFrom([]string{"X", "Y"}).Draw(t, "data centre"))
	target := jujubegate.Address(fmt.Sprintf("10.0.0.%d:9000", rapid.IntRange(1, 10).Draw(t, "target")))
	shards := rapid.IntRange(1, 2).Draw(t, "shards")
	owner := parser.Given(service)
	switch rapid.SampledFrom([]int{9, 10, 11, 12, 9, 10, 11, 12, 10, 7, 8, 5, 6, 5, 0, 1, 2, 3, 4, 5, 6, 6}).Draw(t, "kind") {
	case 0:
		declare := declareService(service, shards)
		declare.ColdLimit.Value = rapid.SampledFrom([]int{1, 1, 1, 3}).Draw(t, "cold limit")
		return declare
	case 1:
		return &parser.AlterService{Name: service, ServiceFields: parser.ServiceFields{Shards: parser.Given(shards)}}
	case 2:
		return &parser.DropService{Name: service}
	case 3:
		return &parser.DeclareRoute{Service: service, Name: route, Idempotent: parser.Given(rapid.Bool().Draw(t, "idempotent"))}
	case 4:
		return &parser.DropRoute{Service: service, Name: route}
	case 5:
		return &parser.DeclareTarget{
			Address: target, Service: owner, Shard: parser.Given(shards - 1), DataCentre: parser.Given(centre),
			Version: parser.Given(version),
		}
	case 6:
		return &parser.DropTarget{Address: target}
	case 7:
		return &parser.TakeOutDataCentre{Name: centre, AllowLoss: parser.Given(rapid.Bool().Draw(t, "allow loss"))}
	case 8:
		return &parser.BringInDataCentre{Name: centre}
	case 9:
		return &parser.BringInVersion{
			Name: version, Service: owner, Share: parser.Given(rapid.IntRange(1, 5).Draw(t, "share")),
			Deadline: parser.Given(parser.Deadline{After: time.Hour}),
		}
	case 10:
		return &parser.AdvanceVersion{
			Name: version, Service: owner,
			State: parser.Given(rapid.SampledFrom([]string{parser.StateShifting, parser.StateProving}).Draw(t, "state")),
			Share: parser.Given(rapid.SampledFrom([]int{0, 3, 5, 25, 100}).Draw(t, "share")),
		}
	case 11:
		return &parser.FinishVersion{Name: version, Service: owner}
	}
	return &parser.TakeBackVersion{Name: version, Service: owner, Reason: parser.Given("errors")}
}
