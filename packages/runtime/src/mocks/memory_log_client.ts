import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import type {LogRecord} from '@wisterialadder/core/types/log_record.js';
import type {LogBatch} from '../platform/log_batch.js';
import {LogClient} from '../platform/log_client.js';
import type {LogServiceError} from '../platform/log_error.js';

/**
 * What the next append does. `lost`: it takes effect but its answer is lost.
 * `refused`: it surely fails.
 */
export type AppendFate = 'ok' | 'lost' | 'refused';

/** A log in memory whose appends can fail as told. */
export class MemoryLogClient extends LogClient {
  private readonly streams = new Map<string, LogRecord[]>();
  private readonly fates: AppendFate[] = [];
  private readonly wake: (() => void)[] = [];
  private readable = true;

  /** Decides about the next appends; later ones succeed. */
  nextAppends(...fates: AppendFate[]): void {
    this.fates.push(...fates);
  }

  /** Makes reads fail or succeed from now on. */
  setReadable(readable: boolean): void {
    this.readable = readable;
    this.wakeReaders();
  }

  override append(
    stream: string,
    data: string,
  ): Promise<Result<number, LogServiceError>> {
    const fate = this.fates.shift() ?? 'ok';
    if (fate === 'refused') return Promise.resolve(Err('not_appended'));
    const records = this.records(stream);
    const offset = records.length;
    records.push({offset, data});
    this.wakeReaders();
    return Promise.resolve(fate === 'lost' ? Err('unknown') : Ok(offset));
  }

  override async read(
    stream: string,
    from: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<LogBatch, LogServiceError>> {
    if (this.readable && from >= this.records(stream).length && waitMs > 0) {
      await this.change(waitMs, signal);
    }
    if (!this.readable) return Err('unavailable');
    const records = this.records(stream);
    const batch = {earliest: 0, end: records.length};
    return Ok({...batch, records: records.slice(from)});
  }

  private records(stream: string): LogRecord[] {
    const known = this.streams.get(stream) ?? [];
    this.streams.set(stream, known);
    return known;
  }

  private change(waitMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(done, waitMs);
      function done(): void {
        clearTimeout(timer);
        resolve();
      }
      signal?.addEventListener('abort', done, {once: true});
      this.wake.push(done);
    });
  }

  private wakeReaders(): void {
    for (const wake of this.wake.splice(0)) wake();
  }
}
