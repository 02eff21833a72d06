import type {GatewayAction} from '../../gateway/actions/gateway_action.js';
import type {GatewayEvent} from '../../gateway/events/gateway_event.js';
import type {GatewayNode} from '../../gateway/gateway_node.js';
import {LOAD_KINDS} from './load_kind.js';

interface Sent {
  endpoint: string;
  service: string;
}

/**
 * Replaces the choices of a gateway by a baseline: each request goes at once to
 * the endpoint with the fewest open requests of this gateway, and none is
 * refused or repeated.
 */
export function leastOutstanding(node: GatewayNode): GatewayNode {
  const open = new Map<string, Sent>();

  function openOn(id: string): number {
    return [...open.values()].filter(({endpoint}) => endpoint === id).length;
  }

  function step(
    event: GatewayEvent,
    nowMs: number,
  ): GatewayAction[] | undefined {
    switch (event.kind) {
      case 'request_arrived': {
        const {reqId, path, remainingMs, resumeAfter} = event;
        const spec = LOAD_KINDS.find(({route}) =>
          path.startsWith(route.prefix),
        );
        const service = spec?.route.services[0]?.service ?? '';
        const [best] = node
          .status(nowMs)
          .endpoints.filter(endpoint => endpoint.service === service)
          .sort((a, b) => openOn(a.id) - openOn(b.id));
        if (!best) return [];
        open.set(reqId, {endpoint: best.id, service});
        return [
          {
            kind: 'start_attempt',
            reqId,
            attempt: 1,
            endpoint: best.id,
            address: best.address,
            maxConnections: 1,
            streamed: service === 'engines',
            customer: event.bearerKey,
            remainingMs,
            notAfterMs: nowMs + (remainingMs ?? 0),
            priority: 0,
            helpers: [],
            resumeAfter,
            newConnection: false,
          },
        ];
      }
      case 'piece_received': {
        const {reqId, payload} = event;
        return [{kind: 'deliver_piece', reqId, payload}];
      }
      case 'stream_ended':
        open.delete(event.reqId);
        return [{kind: 'end_stream', reqId: event.reqId}];
      case 'answer_received': {
        const {reqId, attempt} = event;
        open.delete(reqId);
        return [{kind: 'deliver_answer', reqId, attempt}];
      }
      case 'attempt_failed':
        open.delete(event.reqId);
        return [{kind: 'break_stream', reqId: event.reqId}];
      default:
        return undefined;
    }
  }

  return {
    ...node,
    step: input => step(input.event, input.nowMs) ?? node.step(input),
  };
}
