import type {Configuration} from '../configuration/configuration.js';
import type {GatewayAction} from '../gateway/actions/gateway_action.js';
import type {StartAttempt} from '../gateway/actions/start_attempt.js';
import type {GatewayEvent} from '../gateway/events/gateway_event.js';
import type {RequestArrived} from '../gateway/events/request_arrived.js';
import type {GatewayConfig} from '../gateway/gateway_config.js';
import {createGatewayNode} from '../gateway/gateway_node.js';
import type {QuarantineEntry} from '../quarantine/quarantine_entry.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';
import type {EntryChange} from '../registry/entry_change.js';
import type {AttemptFailure} from '../types/attempt_failure.js';
import {configuration, endpointEntry, gatewayConfig} from './gateway_parts.js';
import {createStepHarness, type StepHarness} from './step_harness.js';
import {NO_EVIDENCE} from '../types/attempt_evidence.js';

/** A gateway node under test on a virtual clock. */
export type GatewayHarness = StepHarness<GatewayEvent, GatewayAction>;

/** Initial state of a ready gateway. */
export interface ReadyGateway {
  cfg?: Partial<GatewayConfig>;
  configuration?: Configuration;
  entries?: EndpointEntry[];
  quarantine?: QuarantineEntry[];
}

/** Creates a gateway that has read nothing. */
export function startedGateway(
  cfg: Partial<GatewayConfig> = {},
): GatewayHarness {
  const harness = createStepHarness(createGatewayNode(gatewayConfig(cfg)));
  harness.step({kind: 'tick'});
  return harness;
}

/** Creates a gateway with two engines and a plain service. */
export function readyGateway(known: ReadyGateway = {}): GatewayHarness {
  const harness = startedGateway(known.cfg);
  harness.step({kind: 'quarantine_read', entries: known.quarantine ?? []});
  harness.step(configurationRead(known.configuration ?? configuration()));
  harness.step(
    registryRead(
      known.entries ?? [
        endpointEntry({id: 'e1'}),
        endpointEntry({id: 'e2'}),
        endpointEntry({id: 's1', service: 'register'}),
        endpointEntry({id: 's2', service: 'register'}),
      ],
    ),
  );
  return harness;
}

/** The store's configuration. */
export function configurationRead(
  current: Configuration | undefined,
  nextOffset = 1,
): GatewayEvent {
  const kind = 'configuration_read';
  return {
    kind,
    listing: true,
    fromOffset: 0,
    nextOffset,
    configuration: current,
    unreadable: false,
    drains: [],
  };
}

/** A listing of the store's registry. */
export function registryRead(
  entries: EndpointEntry[],
  nextOffset = 10,
): GatewayEvent {
  return {
    kind: 'registry_read',
    listing: true,
    fromOffset: 0,
    nextOffset,
    changes: entries.map(entry => entryChange(entry, nextOffset - 1)),
  };
}

/** A registration. */
export function entryChange(entry: EndpointEntry, offset = 0): EntryChange {
  return {id: entry.id, offset, entry, unreadable: false};
}

/** The removal of a registration. */
export function removal(id: string, offset: number): EntryChange {
  return {id, offset, entry: undefined, unreadable: false};
}

/** A short generation of the customer `clerks`. */
export function requestArrived(
  over: Partial<RequestArrived> = {},
): RequestArrived {
  return {
    kind: 'request_arrived',
    reqId: 'r1',
    host: 'llm.example',
    path: '/lookup/1',
    bearerKey: 'k1',
    promptTokens: 5_000,
    maxOutputTokens: 2_000,
    expectedOutputTokens: 1_000,
    sharedParts: [],
    partsLeftOut: 0,
    resumeAfter: 0,
    remainingMs: 10_000,
    bodyBytes: 1_200,
    digest: () => over.reqId ?? 'r1',
    ...over,
  };
}

/** A call of a plain service. */
export function callArrived(
  path: '/write/1' | '/read/1',
  over: Partial<RequestArrived> = {},
): RequestArrived {
  return requestArrived({
    path,
    promptTokens: 0,
    maxOutputTokens: 0,
    expectedOutputTokens: 0,
    ...over,
  });
}

/** A piece of the stream of `r1`. */
export function piece(number: number, attempt = 1): GatewayEvent {
  return {
    kind: 'piece_received',
    reqId: 'r1',
    attempt,
    piece: number,
    payload: new Uint8Array([number]),
  };
}

/** The failure of an attempt of `r1`. */
export function attemptFailed(
  failure: AttemptFailure,
  attempt = 1,
): GatewayEvent {
  const detail = '';
  const kind = 'attempt_failed';
  const evidence = NO_EVIDENCE;
  return {kind, reqId: 'r1', attempt, failure, detail, atFault: '', evidence};
}

/** The first attempt that the actions start. */
export function started(actions: GatewayAction[]): StartAttempt | undefined {
  return actions.find(action => action.kind === 'start_attempt');
}

/** Kinds of the actions, in order, restricted to `selected`. */
export function kinds(
  actions: GatewayAction[],
  ...selected: GatewayAction['kind'][]
): GatewayAction['kind'][] {
  return actions.map(({kind}) => kind).filter(kind => selected.includes(kind));
}

/** Refusal among the actions; undefined if there is none. */
export function refusal(actions: GatewayAction[]): string | undefined {
  return actions.find(action => action.kind === 'refuse')?.refusal;
}
