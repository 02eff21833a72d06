import type {EndpointEntry} from '../../registry/endpoint_entry.js';
import type {LoadJob} from './load_job.js';
import {NO_EVIDENCE} from '../../types/attempt_evidence.js';

/** One endpoint of the load test. */
export abstract class LoadEndpoint {
  /** How many times slower than usual it is. */
  slowdown = 1;
  reachable = true;

  constructor(readonly entry: EndpointEntry) {}

  abstract take(job: LoadJob): void;
  /** Drops a job without an answer. */
  abstract drop(job: LoadJob): void;
  /** Fails everything that runs. */
  abstract fail(): void;
}

/** Ends a job that the endpoint cannot finish. */
export function failJob(
  job: LoadJob,
  failure: 'connect_failed' | 'disconnected',
): void {
  if (!job.open) return;
  job.open = false;
  const {reqId, attempt} = job.action;
  const detail = {failure, detail: '', atFault: '', evidence: NO_EVIDENCE};
  job.reply({kind: 'attempt_failed', reqId, attempt, ...detail});
}
