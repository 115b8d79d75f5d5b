package server

import (
	"context"
	"crypto/rand"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/workflow/workflowpb"
)

// orderEvacuation sends an order to begin or end the evacuation of a zone. It first asks for the
// number of the zone's last order and names it in the request. If another order is applied first, it is
// sent again with the number of that one, as long as the caller waits. A try that arrives after the caller
// has given up is refused if any other order has been applied since, so that the order
// acknowledged last holds. Once the outcome of a try is unknown, an answer that nothing was changed is
// no longer given: that try may have been carried out before the order that overtook the next one.
func (g *Gateway) orderEvacuation(ctx context.Context, r *workflowpb.Request) *workflowpb.Response {
	order := proto.CloneOf(r)
	order.OrderId = rand.Text()
	unknown := false
	for {
		last := g.do(ctx, &workflowpb.Request{Operation: workflowpb.Operation_OPERATION_GET_EVACUATION, Zone: r.Zone})
		if last.Answer != workflowpb.Answer_ANSWER_OK {
			if unknown {
				return &workflowpb.Response{Answer: workflowpb.Answer_ANSWER_UNKNOWN, RetryAfterMs: last.RetryAfterMs, Reason: "an earlier try may have been carried out: " + last.Reason}
			}
			return last
		}
		order.OrderAfter = last.OrderNumber
		var response *workflowpb.Response
		response, unknown = g.doAfter(ctx, order, unknown)
		if response.Answer != workflowpb.Answer_ANSWER_CONFLICT {
			return response
		}
		if ctx.Err() != nil {
			return &workflowpb.Response{Answer: workflowpb.Answer_ANSWER_UNKNOWN, Reason: response.Reason}
		}
	}
}
