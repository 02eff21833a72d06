import type {RouterContext} from '../router/router_context.js';
import type {RouterFeature} from '../router/router_feature.js';
import type {ClaimEntry} from './claim_entry.js';
import {PARTITIONS, partitionOf, partitionStream} from './claim_key.js';
import type {ClaimsConfig} from './claims_config.js';
import type {OutcomeEntry} from './outcome_entry.js';
import {
  createPartitionRecorder,
  type PartitionRecorder,
} from './partition_recorder.js';
import type {ReplyToOwner} from './reply_to_owner.js';

/** Records claims of any partition for any router. */
export interface Recorder extends RouterFeature {
  /** Answers `from` once the claim has been read back from the log. */
  submit(ctx: RouterContext, claim: ClaimEntry, from: string): void;
  /** Acknowledges the outcome once it has been read back. */
  report(ctx: RouterContext, outcome: OutcomeEntry, from: string): void;
}

/** Creates a recorder that does not tail any partition yet. */
export function createRecorder(
  cfg: ClaimsConfig,
  reply: ReplyToOwner,
): Recorder {
  const partitions: PartitionRecorder[] = [];
  const byStream = new Map<string, PartitionRecorder>();
  for (let i = 0; i < PARTITIONS; i++) {
    const recorder = createPartitionRecorder(cfg, i, reply);
    partitions.push(recorder);
    byStream.set(partitionStream(i), recorder);
  }

  return {
    submit: (ctx, claim, from) =>
      partitions[partitionOf(claim.key)]?.submit(ctx, claim, from),
    report: (ctx, outcome, from) =>
      partitions[partitionOf(outcome.key)]?.report(ctx, outcome, from),
    handlers: {
      append_settled: (ctx, event) => {
        for (const recorder of partitions) recorder.appendSettled(ctx, event);
      },
      log_read: (ctx, event) => byStream.get(event.stream)?.logRead(ctx, event),
      log_read_failed: (ctx, event) =>
        byStream.get(event.stream)?.logReadFailed(ctx),
    },
    expire: ctx => {
      for (const recorder of partitions) recorder.expire(ctx);
    },
    settle: ctx => {
      for (const recorder of partitions) recorder.flush(ctx);
    },
  };
}
