import type {SseEvent} from './sse_event.js';

/** Largest line that a well-behaved engine sends, in characters. */
const MAX_LINE_CHARACTERS = 1_000_000;

/** Splits a byte stream into server-sent events. */
export interface SseParser {
  /** Returns the events that the text completes. */
  feed(text: string): SseEvent[];
}

/** Creates a parser; `feed` throws on an overlong line. */
export function createSseParser(): SseParser {
  let rest = '';
  let id = '';
  let event = '';
  let data: string[] = [];

  function feed(text: string): SseEvent[] {
    const lines = (rest + text).split('\n');
    rest = lines.pop() ?? '';
    if (rest.length > MAX_LINE_CHARACTERS) throw new Error('line too long');
    const events: SseEvent[] = [];
    for (const line of lines) {
      const complete = takeLine(line.replace(/\r$/, ''));
      if (complete) events.push(complete);
    }
    return events;
  }

  function takeLine(line: string): SseEvent | undefined {
    if (line === '') return takeEvent();
    const colon = line.indexOf(':');
    if (colon === 0) return undefined;
    const field = colon < 0 ? line : line.slice(0, colon);
    const value = colon < 0 ? '' : line.slice(colon + 1).replace(/^ /, '');
    if (field === 'id') id = value;
    else if (field === 'event') event = value;
    else if (field === 'data') data.push(value);
    return undefined;
  }

  function takeEvent(): SseEvent | undefined {
    const complete = {id, event, data: data.join('\n')};
    const empty = data.length === 0;
    event = '';
    data = [];
    return empty ? undefined : complete;
  }

  return {feed};
}
