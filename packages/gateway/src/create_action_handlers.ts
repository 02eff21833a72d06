import type {GatewayEvent} from '@wisterialadder/core/gateway/events/gateway_event.js';
import type {OrderMemory} from '@wisterialadder/core/gateway/actions/order_memory.js';
import type {Readiness} from '@wisterialadder/runtime/http/readiness.js';
import type {Logger} from '@wisterialadder/runtime/logging/logger.js';
import type {Metrics} from '@wisterialadder/runtime/metrics/create_metrics.js';
import type {ActionHandlers} from './action_handlers.js';
import type {AnswerWriter} from './callers/answer_writer.js';
import type {CallerServer} from './callers/caller_server.js';
import type {AttemptRunner} from './endpoints/attempt_runner.js';
import {probeEndpoint} from './endpoints/endpoint_probe.js';
import type {MemoryClient} from './memory/memory_client.js';
import type {PeerLink} from './peers/peer_link.js';
import type {StoreAdapter} from './store/store_adapter.js';

/** What carries out the actions of a gateway. */
export interface ActionHandlerParts {
  answers: AnswerWriter;
  attempts: AttemptRunner;
  callers: CallerServer;
  memory: MemoryClient;
  metrics: Metrics;
  logger: Logger;
  peers: PeerLink;
  readiness: Readiness;
  storeAdapter: StoreAdapter;
  push(event: GatewayEvent): boolean;
  exit(code: number): void;
}

/** Creates the handlers of all actions. */
export function createActionHandlers(
  parts: ActionHandlerParts,
): ActionHandlers {
  const {answers, attempts, callers, metrics, readiness} = parts;
  const {storeAdapter, push} = parts;

  function orderMemory(action: OrderMemory): void {
    const {ticket, endpoint} = action;
    void parts.memory.order(action).then(result => {
      push({kind: 'memory_settled', ticket, endpoint, ...result});
    });
  }

  return {
    announce_member: storeAdapter.announce,
    apply_limits: ({limits}) => callers.applyLimits(limits),
    begin_stream: answers.beginStream,
    break_stream: answers.breakStream,
    cancel_attempt: attempts.cancel,
    close_callers: ({idleToo}) => callers.closeCallers(idleToo),
    deliver_answer: answers.deliverAnswer,
    deliver_piece: answers.deliverPiece,
    end_stream: answers.endStream,
    exit: ({code}) => parts.exit(code),
    keep_endpoints: ({endpoints}) => attempts.closeIdleExcept(endpoints),
    observe: ({metric, labels, value}) =>
      metrics.observe(metric, labels, value),
    order_memory: orderMemory,
    probe_endpoint: action => probeEndpoint(action, push),
    read_store: storeAdapter.read,
    refuse: answers.refuse,
    save_quarantine: storeAdapter.saveQuarantine,
    send_peers: parts.peers.send,
    set_ready: ({ready, reason}) => {
      readiness.ready = ready;
      readiness.reason = reason;
    },
    start_attempt: attempts.start,
    write_log: ({event, fields}) => parts.logger.write(event, fields),
  };
}
