import {Err, Ok, type Result} from '@wisterialadder/core/shared/result.js';
import type {LogRecord} from '@wisterialadder/core/types/log_record.js';
import type {LogBatch} from '../platform/log_batch.js';
import {LogClient} from '../platform/log_client.js';
import type {LogServiceError} from '../platform/log_error.js';

/**
 * How an append ends. `lost`: it takes effect but its response is lost.
 * `refused`: it certainly has no effect.
 */
export type AppendResult = 'ok' | 'lost' | 'refused';

/** In-memory log whose appends and reads fail on demand. */
export class MemoryLogClient extends LogClient {
  private readonly streams = new Map<string, LogRecord[]>();
  private readonly nextResults: AppendResult[] = [];
  private readonly waiters: (() => void)[] = [];
  private readable = true;

  /** Sets the results of the next appends; later ones succeed. */
  nextAppends(...results: AppendResult[]): void {
    this.nextResults.push(...results);
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
    const result = this.nextResults.shift() ?? 'ok';
    if (result === 'refused') return Promise.resolve(Err('not_appended'));
    const records = this.records(stream);
    const offset = records.length;
    records.push({offset, data});
    this.wakeReaders();
    return Promise.resolve(result === 'lost' ? Err('unknown') : Ok(offset));
  }

  override async read(
    stream: string,
    from: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<LogBatch, LogServiceError>> {
    if (this.readable && from >= this.records(stream).length && waitMs > 0) {
      await this.waitForChange(waitMs, signal);
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

  private waitForChange(waitMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(done, waitMs);
      function done(): void {
        clearTimeout(timer);
        resolve();
      }
      signal?.addEventListener('abort', done, {once: true});
      this.waiters.push(done);
    });
  }

  private wakeReaders(): void {
    for (const wake of this.waiters.splice(0)) wake();
  }
}
