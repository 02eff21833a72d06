import type {EndpointReport} from '../router/events/endpoint_report.js';
import type {EngineSession} from '../types/engine_session.js';

/** An engine that keeps each session until it receives its release. */
export interface VirtualEngine {
  readonly name: string;
  readonly failureDomain: string;
  /** Address in the virtual network. */
  readonly address: string;
  incarnation: number;
  leaving: boolean;
  /** Address of the only router that can read reports; empty for all. */
  reportsOnlyTo: string;
  sessions: Map<string, EngineSession>;
  open(owner: string, reqId: string): void;
  restart(): void;
  report(): EndpointReport;
}

/** Creates an empty engine. */
export function createVirtualEngine(
  name: string,
  failureDomain: string,
): VirtualEngine {
  let opened = 0;

  const engine: VirtualEngine = {
    name,
    failureDomain,
    address: `${failureDomain}/${name}`,
    incarnation: 1,
    leaving: false,
    reportsOnlyTo: '',
    sessions: new Map(),
    open: (owner, reqId) => {
      opened += 1;
      const id = `${name}-s${opened}`;
      const kind = 'stream';
      engine.sessions.set(id, {id, kind, owner, reqId, tokens: 1, ageMs: 0});
    },
    restart: () => {
      engine.incarnation += 1;
      engine.leaving = false;
      engine.reportsOnlyTo = '';
      engine.sessions.clear();
    },
    report: () => ({
      kind: 'endpoint_report',
      endpoint: name,
      incarnation: `${engine.incarnation}`,
      leaving: engine.leaving,
      queuedPrefillTokens: 0,
      decodeStreams: engine.sessions.size,
      kvUsedTokens: 0,
      kvCapacityTokens: 400_000,
      cacheSequence: 0,
      sessions: [...engine.sessions.values()],
      models: [],
    }),
  };
  return engine;
}
