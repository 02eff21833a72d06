import {engineStart, type CrashReport} from './crash_report.js';
import {fewestRequests} from './fewest_requests.js';
import {createEndCauses} from './end_causes.js';
import {addRequest, type Incident} from './incident.js';
import {createIntersections, type Intersections} from './intersections.js';
import {createProvenParts} from './proven_parts.js';

/** Evidence against a part, and requests, as one alone may be the cause. */
const SUFFICIENT = {evidence: 4, requests: 2};
/** The same after a recent answer; three requests convicted sound parts. */
const SUFFICIENT_AGAINST_PROVEN = {evidence: 10, requests: 5};
/** Evidence of an engine that ended as it began the answer, or in a trial. */
const BEGUN_EVIDENCE = 2;
/** Evidence of an engine that ended while the prompt was only read. */
const READ_EVIDENCE = 1;
/** Engines that end together, by a loss of power, are one incident. */
const SAME_INCIDENT_MS = 100;
const RETENTION_MS = 600_000;
/** Callers may invent parts, so that the oldest are dropped. */
const MAX_PARTS = 8_192;
const MAX_INCIDENTS_PER_PART = 8;
/** A part that was answered this recently is not suspected. */
const RECENTLY_PROVEN_MS = 60_000;

/** Which parts of prompts were on engines that ended, and which are sound. */
export interface CrashLedger {
  /** Adds an observation; an equal one of the same engine counts once. */
  record(nowMs: number, report: CrashReport): void;
  /** An engine answered a prompt with the part. Steady clock. */
  proven(part: string, atMs: number): void;
  /** Time of the last answer; undefined if there was none lately. */
  provenMs(nowMs: number, part: string): number | undefined;
  /** Evidence since the part was last answered. */
  evidence(part: string): number;
  /** Starts of the engines that ended with the part, for logs. */
  enginesOf(part: string): string;
  /** Whether the evidence shows that the part ends engines. */
  isSufficient(part: string): boolean;
  /** Whether it was answered shortly before the first end under it. */
  wasProven(part: string): boolean;
  /** The part is known as the cause, so that no other one is for its engines. */
  explain(part: string): void;
  /** What is known to end engines was on an engine that ended. */
  attribute(nowMs: number, report: CrashReport, cause: string): void;
  /** Whether convicted parts have ended all these engines. */
  explainsAll(engines: string[]): boolean;
  /** Whether the part may be the cause of an engine's end. */
  isSuspected(nowMs: number, part: string): boolean;
  /** Other parts that all prompts with the part held when engines ended. */
  companions(part: string): string[];
  suspects(nowMs: number): string[];
  forget(part: string): void;
}

/** Creates a ledger without observations. */
export function createCrashLedger(): CrashLedger {
  const byPart = new Map<string, Incident[]>();
  const endCauses = createEndCauses();
  const provenParts = createProvenParts();

  function record(nowMs: number, report: CrashReport): void {
    if (report.begun) endCauses.begun(engineStart(report), nowMs);
    const held = new Set(report.parts);
    const shared = createIntersections(held);
    for (const part of held) add(nowMs, part, report, shared);
    prune(nowMs);
  }

  function add(
    nowMs: number,
    part: string,
    report: CrashReport,
    shared: Intersections,
  ): void {
    const engine = engineStart(report);
    const {begun, writing, onTrial, request, ranMs} = report;
    // Gateways of earlier releases do not tell how long it ran.
    const startedMs = ranMs > 0 ? nowMs - ranMs : Number.NEGATIVE_INFINITY;
    const incidents = byPart.get(part) ?? [];
    const known = incidents.find(incident => incident.engine === engine);
    if (known) {
      known.begun ||= begun;
      known.writing ||= writing;
      known.onTrial ||= onTrial;
      known.startedMs = Math.max(known.startedMs, startedMs);
      known.parts = shared.with(known.parts);
      return addRequest(known.requests, request);
    }
    const requests = new Set<string>();
    addRequest(requests, request);
    const parts = shared.all;
    const facts = {atMs: nowMs, startedMs, begun, writing, onTrial};
    incidents.push({engine, ...facts, parts, requests});
    if (incidents.length > MAX_INCIDENTS_PER_PART) incidents.shift();
    byPart.delete(part);
    byPart.set(part, incidents);
  }

  function prune(nowMs: number): void {
    for (const [part, incidents] of byPart) {
      const last = incidents[incidents.length - 1];
      const expired = !last || nowMs - last.atMs >= RETENTION_MS;
      if (expired || byPart.size > MAX_PARTS) byPart.delete(part);
    }
    endCauses.prune(nowMs);
  }

  function proven(part: string, atMs: number): void {
    provenParts.add(part, atMs);
    const incidents = byPart.get(part);
    if (!incidents) return;
    const later = incidents.filter(incident => incident.atMs > atMs);
    if (later.length === 0) byPart.delete(part);
    else byPart.set(part, later);
  }

  /** Incidents of which the part may be the cause. */
  function unexplained(part: string): Incident[] {
    return (byPart.get(part) ?? []).filter(
      ({engine, begun, writing, onTrial}) =>
        endCauses.mayBeCause(engine, part, begun || writing || onTrial),
    );
  }

  function evidence(part: string): number {
    let sum = 0;
    let lastMs = Number.NEGATIVE_INFINITY;
    for (const {atMs, startedMs, begun, onTrial} of unexplained(part)) {
      // One that began after the last end was not lost together with it.
      const isLater = startedMs >= lastMs || atMs - lastMs >= SAME_INCIDENT_MS;
      if (!isLater) continue;
      lastMs = atMs;
      sum += begun || onTrial ? BEGUN_EVIDENCE : READ_EVIDENCE;
    }
    return sum;
  }

  function wasProven(part: string): boolean {
    const [first] = byPart.get(part) ?? [];
    const provenMs = provenParts.provenMs(part) ?? Number.NEGATIVE_INFINITY;
    return first !== undefined && first.atMs - provenMs < RECENTLY_PROVEN_MS;
  }

  function isSufficient(part: string): boolean {
    const needed = wasProven(part) ? SUFFICIENT_AGAINST_PROVEN : SUFFICIENT;
    if (evidence(part) < needed.evidence) return false;
    const ends = byPart.get(part)?.map(({requests}) => requests) ?? [];
    return fewestRequests(ends) >= needed.requests;
  }

  function explain(part: string): void {
    for (const {engine, atMs} of unexplained(part)) {
      endCauses.explain(engine, part, atMs);
    }
  }

  function isSuspected(nowMs: number, part: string): boolean {
    if (evidence(part) === 0) return false;
    const provenMs = provenParts.provenMs(part) ?? Number.NEGATIVE_INFINITY;
    return nowMs - provenMs >= RECENTLY_PROVEN_MS;
  }

  function companions(part: string): string[] {
    const [first, ...others] = unexplained(part);
    if (!first) return [];
    return [...first.parts].filter(other => {
      if (other === part) return false;
      const provenMs = provenParts.provenMs(other);
      const sound = provenMs !== undefined && provenMs > first.atMs;
      return !sound && others.every(({parts}) => parts.has(other));
    });
  }

  return {
    record,
    proven,
    provenMs: (nowMs, part) => {
      const atMs = provenParts.provenMs(part);
      const recent = atMs !== undefined && nowMs - atMs < RECENTLY_PROVEN_MS;
      return recent ? atMs : undefined;
    },
    evidence,
    isSufficient,
    wasProven,
    explain,
    attribute: (nowMs, report, cause) =>
      endCauses.explain(engineStart(report), cause, nowMs),
    explainsAll: engines => engines.every(endCauses.endedByPart),
    enginesOf: part =>
      (byPart.get(part) ?? []).map(({engine}) => engine).join(' '),
    isSuspected,
    companions,
    suspects: nowMs =>
      [...byPart.keys()].filter(part => isSuspected(nowMs, part)),
    forget: part => {
      byPart.delete(part);
      endCauses.unexplain(part);
    },
  };
}
