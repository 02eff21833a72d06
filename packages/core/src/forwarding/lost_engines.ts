import type {EndpointHealth} from '../endpoint_health/endpoint_health.js';
import type {EndpointProbed} from '../gateway/events/endpoint_probed.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {GatewayFeature} from '../gateway/gateway_feature.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';
import type {EndpointRegistry} from '../registry/endpoint_registry.js';
import type {CurrentAttempt} from './current_attempt.js';

/**
 * Silence of an engine that may be lost. The gaps of healthy streams are
 * shorter, and with the time until the store drops an engine, less than the 4 s
 * within which memory of a request that has ended must be free.
 */
const SILENCE_MS = 1_500;
/** Pause between two probes of an engine. */
const PROBE_INTERVAL_MS = 1_000;
/** Time for which an engine's last probe is remembered. */
const RETENTION_MS = 10_000;

/**
 * Detects that attempts that hold memory on other engines have lost their main
 * engine. The connection does not tell if the engine is unreachable, and first
 * pieces of long prompts come late, so that memory was renewed for seconds.
 */
export interface LostEngines extends Pick<GatewayFeature, 'handlers'> {
  /** Whether the engine is lost; probes it if that is in doubt. */
  hasLost(ctx: GatewayContext, current: CurrentAttempt): boolean;
}

/** Dependencies of the detection. */
export interface LostEngineParts {
  registry: Pick<EndpointRegistry, 'get'>;
  health: Pick<EndpointHealth, 'record'>;
}

interface Probe {
  sentMs: number;
  /** When it found the engine unreachable; undefined if it did not. */
  unreachableMs: number | undefined;
}

/** Creates a detection that has probed nothing. */
export function createLostEngines(parts: LostEngineParts): LostEngines {
  const {registry, health} = parts;
  const probes = new Map<string, Probe>();

  function hasLost(
    ctx: GatewayContext,
    {choice, lastProgressMs}: CurrentAttempt,
  ): boolean {
    const {main, helperTokens} = choice;
    if (helperTokens === 0) return false;
    if (ctx.nowMs - lastProgressMs < SILENCE_MS) return false;
    if (isDropped(main)) return true;
    const unreachableMs = probes.get(main.id)?.unreachableMs;
    if (unreachableMs !== undefined && unreachableMs > lastProgressMs) {
      return true;
    }
    // Others may have failed to connect since they are cut off themselves.
    if (health.record(main.id).failures > 0) probe(ctx, main);
    return false;
  }

  /** Whether a start of an endpoint is no longer registered. */
  function isDropped({id, startedAtMs}: EndpointEntry): boolean {
    const known = registry.get(id);
    if (!known || known.entry.startedAtMs > startedAtMs) return true;
    // An engine that leaves may be dropped before it has finished its work.
    return known.state === 'gone' && known.entry.state !== 'leaving';
  }

  function probe(ctx: GatewayContext, {id, address}: EndpointEntry): void {
    const {nowMs} = ctx;
    const sentMs = probes.get(id)?.sentMs ?? Number.NEGATIVE_INFINITY;
    if (nowMs - sentMs < PROBE_INTERVAL_MS) return;
    for (const [endpoint, known] of probes) {
      if (nowMs - known.sentMs >= RETENTION_MS) probes.delete(endpoint);
    }
    probes.set(id, {sentMs: nowMs, unreachableMs: undefined});
    ctx.emit({kind: 'probe_endpoint', endpoint: id, address});
  }

  function probed(ctx: GatewayContext, event: EndpointProbed): void {
    const known = probes.get(event.endpoint);
    if (known && !event.reachable) known.unreachableMs = ctx.nowMs;
  }

  return {handlers: {endpoint_probed: probed}, hasLost};
}
