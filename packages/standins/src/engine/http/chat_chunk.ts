import type {SendPart} from '../actions/send_part.js';

/** Encodes a part as a server-sent chat-completion chunk. */
export function chatChunk(part: SendPart): string {
  const {sequence, text, last} = part;
  const chunk = {
    id: part.callId,
    object: 'chat.completion.chunk',
    choices: [
      {
        index: 0,
        delta:
          sequence === 0 ? {role: 'assistant', content: text} : {content: text},
        finish_reason: last ? 'stop' : null,
      },
    ],
  };
  return `id: ${sequence}\ndata: ${JSON.stringify(chunk)}\n\n`;
}

/** Encodes the end marker; its id is the part count of the whole answer. */
export function endMarker(parts: number): string {
  return `id: ${parts}\ndata: [DONE]\n\n`;
}
