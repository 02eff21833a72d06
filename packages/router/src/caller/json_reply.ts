import {sendJson} from '@wisterialadder/runtime/http/send_json.js';
import type {ChatChunk} from './chat_chunk.js';
import {CallerReply} from './caller_reply.js';

/** Answer as one JSON document, sent once it is complete. */
export class JsonReply extends CallerReply {
  private readonly parts: string[] = [];

  override deliver(payload: string): void {
    const chunk = JSON.parse(payload) as ChatChunk;
    this.parts.push(chunk.choices?.[0]?.delta?.content ?? '');
  }

  protected override complete(): void {
    const message = {role: 'assistant', content: this.parts.join('')};
    const body = {
      id: this.reqId,
      object: 'chat.completion',
      choices: [{index: 0, message, finish_reason: 'stop'}],
      usage: {completion_tokens: this.parts.length},
    };
    sendJson(this.res, 200, body, this.headers({kind: 'completed'}));
  }
}
