import type {MessageInitShape} from '@bufbuild/protobuf';
import type {CrashNews} from '@wisterialadder/core/fleet/messages/crash_news.js';
import type {QuarantineNews} from '@wisterialadder/core/fleet/messages/quarantine_news.js';
import type {CrashReport} from '@wisterialadder/core/quarantine/crash_report.js';
import type {
  CrashReport as WireCrashReport,
  CrashNews as WireCrashNews,
  CrashNewsSchema,
  QuarantineNews as WireQuarantineNews,
  QuarantineNewsSchema,
} from '../gen/gateway_pb.js';
import {safeNumber} from './safe_number.js';

/** Encodes observations of engines that ended. */
export function encodeCrashNews(
  news: CrashNews,
): MessageInitShape<typeof CrashNewsSchema> {
  const {crashes, endedEngines, proven, trials, ended} = news;
  return {
    crashes: crashes.map(({startedAtMs, ...report}) => ({
      ...report,
      startedAtMs: BigInt(startedAtMs),
    })),
    endedEngines,
    proven: proven.map(({cause, ageMs}) => ({
      cause,
      ageMs: Math.max(0, Math.round(ageMs)),
    })),
    trials,
    ended,
  };
}

/** Decodes observations of engines that ended. */
export function decodeCrashNews(news: WireCrashNews): CrashNews {
  const {crashes, endedEngines, proven, trials, ended} = news;
  return {
    kind: 'crash_news',
    crashes: crashes.map(decodeCrashReport),
    endedEngines: endedEngines.map(({request, engines, ageMs}) => ({
      request,
      engines,
      ageMs,
    })),
    proven: proven.map(({cause, ageMs}) => ({cause, ageMs})),
    trials: trials.map(({endpoint, causes}) => ({endpoint, causes})),
    ended,
  };
}

function decodeCrashReport(report: WireCrashReport): CrashReport {
  const {endpoint, startedAtMs, begun, writing, onTrial} = report;
  const {parts, request, ranMs} = report;
  const engine = {endpoint, startedAtMs: safeNumber(startedAtMs)};
  return {...engine, begun, writing, onTrial, parts, request, ranMs};
}

/** Encodes verdicts. */
export function encodeQuarantineNews({
  entries,
  saved,
}: QuarantineNews): MessageInitShape<typeof QuarantineNewsSchema> {
  return {
    saved,
    entries: entries.map(({cause, state, companions, changedAtMs, trials}) => ({
      cause,
      lifted: state === 'lifted',
      companions,
      changedAtMs: BigInt(changedAtMs),
      trials,
    })),
  };
}

/** Decodes verdicts. */
export function decodeQuarantineNews({
  entries,
  saved,
}: WireQuarantineNews): QuarantineNews {
  return {
    kind: 'quarantine_news',
    saved,
    entries: entries.map(
      ({cause, lifted, companions, changedAtMs, trials}) => ({
        cause,
        state: lifted ? 'lifted' : 'quarantined',
        companions,
        changedAtMs: safeNumber(changedAtMs),
        trials,
      }),
    ),
  };
}
