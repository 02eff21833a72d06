import type {SseEvent} from './sse_event.js';

/** Incremental parser of server-sent events. */
export interface SseReader {
  /** Returns the events that the bytes complete. */
  add(bytes: Uint8Array): SseEvent[];
}

/** Creates a reader at the start of a stream. */
export function createSseReader(): SseReader {
  const decoder = new TextDecoder();
  let buffered = '';

  return {
    add: bytes => {
      buffered += decoder.decode(bytes, {stream: true});
      const blocks = buffered.split(/\r?\n\r?\n/);
      buffered = blocks.pop() ?? '';
      return blocks.map(parseEvent).filter(({data}) => data !== '');
    },
  };
}

function parseEvent(block: string): SseEvent {
  let event = '';
  const data: string[] = [];
  for (const line of block.split(/\r?\n/)) {
    const [, name, value = ''] = /^([^:]*):? ?(.*)$/.exec(line) ?? [];
    if (name === 'event') event = value;
    else if (name === 'data') data.push(value);
  }
  return {event, data: data.join('\n')};
}
