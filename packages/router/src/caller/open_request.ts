import type {CallerReply} from './caller_reply.js';

/** A caller's request as the adapters hold it. */
export interface OpenRequest {
  reply: CallerReply;
  /** Body as the caller sent it; passed on unchanged. */
  body: Buffer;
  /** Path of the call on a plain service; empty for chat completions. */
  action: string;
  idempotencyKey: string;
}
