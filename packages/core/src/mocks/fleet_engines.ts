import type {CancelAttempt} from '../gateway/actions/cancel_attempt.js';
import type {StartAttempt} from '../gateway/actions/start_attempt.js';
import type {GatewayEvent} from '../gateway/events/gateway_event.js';
import type {EndpointEntry} from '../registry/endpoint_entry.js';
import type {RandomSource} from '../types/random_source.js';
import {createEngineAnswers} from './engine_answers.js';
import type {EngineArrival} from './engine_arrival.js';
import type {EngineCrash} from './engine_crash.js';
import type {FleetRequest} from './fleet_request.js';
import type {EndsAfter} from './gateway_fleet_config.js';
import {endpointEntry} from './gateway_parts.js';
import type {RunningAttempt} from './running_attempt.js';
import type {VirtualTimeline} from './virtual_timeline.js';

/** Time from the head of an answer to its first piece. */
const FIRST_PIECE_MS = 50;
const PIECES_BEFORE_END = 2;
const RESTART_MS = 3_000;
/** Time until the store drops an engine that ended. */
const LISTED_AFTER_END_MS = 1_500;

/** Engines of a fleet test; some parts of prompts and some requests end them. */
export interface FleetEngines {
  readonly arrivals: EngineArrival[];
  readonly crashes: EngineCrash[];
  /** Registered engines. */
  entries(): EndpointEntry[];
  /** Requests a second that engines name in their answers, by engine. */
  readonly limits: Map<string, number>;
  /** Parts and digests of requests that end engines that begin to answer. */
  readonly deadly: Set<string>;
  take(
    gateway: string,
    action: StartAttempt,
    prompt: FleetPrompt,
    reply: (event: GatewayEvent) => void,
  ): void;
  cancel(gateway: string, action: CancelAttempt): void;
  /** Ends an engine as a loss of power does. */
  stop(engine: string): void;
  /** A running engine is cut off from the store, or reaches it again. */
  setListed(engine: string, listed: boolean): void;
  /** All registered engines renew their registrations. */
  renew(): void;
  /** An engine turns cold. */
  cool(engine: string): void;
  /** Ids of all engines, also of those that are not registered. */
  ids(): string[];
}

/** What decides whether an engine survives a request. */
export type FleetPrompt = Pick<FleetRequest, 'parts' | 'digest'>;

/** Dependencies of the engines. */
export interface FleetEngineParts {
  count: number;
  timeline: VirtualTimeline;
  random: RandomSource;
  /** Rest of the warm-up of an engine that starts during the test. */
  coldMs: number;
  /** Failure domain of the engine with that index. */
  domainOf(index: number): string;
  /** Whether a started engine has the id that it had before. */
  keepIds: boolean;
  /** What it sends of an answer under which it ends. */
  endsAfter: EndsAfter;
  registryChanged(): void;
}

interface Engine {
  entry: EndpointEntry;
  running: Set<RunningAttempt>;
  alive: boolean;
  listed: boolean;
}

/** Creates engines that have just started. */
export function createFleetEngines(parts: FleetEngineParts): FleetEngines {
  const {timeline, random} = parts;
  const engines: Engine[] = Array.from({length: parts.count}, (_, i) => ({
    entry: endpointEntry({
      id: `e${i + 1}`,
      address: `10.9.${Math.floor(i / 200)}.${(i % 200) + 1}:9000`,
      failureDomain: parts.domainOf(i),
    }),
    running: new Set(),
    alive: true,
    listed: true,
  }));
  const arrivals: EngineArrival[] = [];
  const crashes: EngineCrash[] = [];
  const deadly = new Set<string>();
  const limits = new Map<string, number>();
  const answers = createEngineAnswers(timeline);
  let starts = 1;

  function end(engine: Engine, cause: string | undefined): void {
    if (!engine.alive) return;
    engine.alive = false;
    crashes.push({atMs: timeline.nowMs(), engine: engine.entry.id, cause});
    for (const running of engine.running) {
      answers.fail(running, 'disconnected');
    }
    engine.running.clear();
    timeline.after(LISTED_AFTER_END_MS, () => {
      engine.listed = engine.alive;
      parts.registryChanged();
    });
    timeline.after(RESTART_MS, () => restart(engine));
  }

  function restart(engine: Engine): void {
    starts += 1;
    const {entry} = engine;
    const id = parts.keepIds ? entry.id : `${entry.id.split('r')[0]}r${starts}`;
    const warmUpMs = parts.coldMs;
    const startedAtMs = 1_000 + starts;
    engine.entry = {...entry, id, startedAtMs, warmUpMs, sequence: 1};
    engine.alive = true;
    engine.listed = true;
    parts.registryChanged();
  }

  function take(
    gateway: string,
    action: StartAttempt,
    prompt: FleetPrompt,
    reply: (event: GatewayEvent) => void,
  ): void {
    const key = `${gateway}/${action.reqId}/${action.attempt}`;
    const {digest} = prompt;
    const running: RunningAttempt = {key, digest, open: true, reply, action};
    const engine = engines.find(
      ({entry, alive}) => alive && entry.id === action.endpoint,
    );
    if (!engine) return answers.fail(running, 'connect_failed');
    const {reqId, endpoint} = action;
    const atMs = timeline.nowMs();
    const alike = engines
      .flatMap(({running: all}) => [...all])
      .filter(other => other.digest === digest).length;
    const arrival = {atMs, gateway, engine: endpoint, reqId, alike};
    arrivals.push({...arrival, ...prompt});
    engine.running.add(running);
    const headMs = 40 + random() * 120;
    timeline.after(headMs, () => begin(engine, running, prompt));
  }

  function begin(
    engine: Engine,
    running: RunningAttempt,
    {parts: held, digest}: FleetPrompt,
  ): void {
    if (!running.open) return;
    const cause = [...held, digest].find(id => deadly.has(id));
    if (cause !== undefined && parts.endsAfter === 'nothing') {
      return end(engine, cause);
    }
    answers.sendHead(running, limits.get(running.action.endpoint) ?? 'none');
    timeline.after(FIRST_PIECE_MS, () => {
      if (cause === undefined) {
        return answers.write(running, 0, () => engine.running.delete(running));
      }
      if (parts.endsAfter === 'pieces') {
        answers.sendPieces(running, PIECES_BEFORE_END);
      }
      // What was sent arrives first.
      timeline.after(1, () => running.open && end(engine, cause));
    });
  }

  function cancel(gateway: string, {reqId, attempt}: CancelAttempt): void {
    const key = `${gateway}/${reqId}/${attempt}`;
    for (const {running: all} of engines) {
      for (const running of all) {
        if (running.key !== key) continue;
        running.open = false;
        all.delete(running);
      }
    }
  }

  function setListed(id: string, listed: boolean): void {
    const engine = engines.find(({entry}) => entry.id === id);
    if (!engine?.alive || engine.listed === listed) return;
    engine.listed = listed;
    const sequence = engine.entry.sequence + 1;
    if (listed) engine.entry = {...engine.entry, sequence};
    parts.registryChanged();
  }

  function renew(): void {
    for (const engine of engines.filter(({listed}) => listed)) {
      const {entry} = engine;
      engine.entry = {...entry, sequence: entry.sequence + 1};
    }
    parts.registryChanged();
  }

  function cool(id: string): void {
    const engine = engines.find(({entry}) => entry.id === id);
    if (!engine) return;
    const {entry} = engine;
    const sequence = entry.sequence + 1;
    engine.entry = {...entry, sequence, warmUpMs: parts.coldMs};
    parts.registryChanged();
  }

  return {
    arrivals,
    crashes,
    deadly,
    limits,
    entries: () => engines.filter(({listed}) => listed).map(({entry}) => entry),
    take,
    cancel,
    stop: id => {
      const engine = engines.find(({entry}) => entry.id === id);
      if (engine) end(engine, undefined);
    },
    setListed,
    renew,
    cool,
    ids: () => engines.map(({entry}) => entry.id),
  };
}
