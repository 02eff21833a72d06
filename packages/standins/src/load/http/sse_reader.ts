import type {SseEvent} from './sse_event.js';

/** Splits a byte stream into server-sent events. */
export interface SseReader {
  add(bytes: Uint8Array): SseEvent[];
}

/** Creates a reader at the start of a stream. */
export function createSseReader(): SseReader {
  const decoder = new TextDecoder();
  let rest = '';

  return {
    add: bytes => {
      rest += decoder.decode(bytes, {stream: true});
      const blocks = rest.split(/\r?\n\r?\n/);
      rest = blocks.pop() ?? '';
      return blocks.map(readBlock).filter(({data}) => data !== '');
    },
  };
}

function readBlock(block: string): SseEvent {
  let event = '';
  const data: string[] = [];
  for (const line of block.split(/\r?\n/)) {
    const [, name, value = ''] = /^([^:]*):? ?(.*)$/.exec(line) ?? [];
    if (name === 'event') event = value;
    else if (name === 'data') data.push(value);
  }
  return {event, data: data.join('\n')};
}
