import type {SseEvent} from './sse_event.js';

/** No well-behaved engine sends a longer line. */
const MAX_LINE_CHARACTERS = 1_000_000;

/** Parses server-sent events incrementally. */
export interface SseParser {
  /** Returns the events completed by the text; throws on an overlong line. */
  feed(text: string): SseEvent[];
}

/** Creates a parser at the start of a stream. */
export function createSseParser(): SseParser {
  let partialLine = '';
  let id = '';
  let event = '';
  let data: string[] = [];

  function feed(text: string): SseEvent[] {
    const lines = (partialLine + text).split('\n');
    partialLine = lines.pop() ?? '';
    if (partialLine.length > MAX_LINE_CHARACTERS) {
      throw new Error(`line exceeds ${MAX_LINE_CHARACTERS} characters`);
    }
    const events: SseEvent[] = [];
    for (const line of lines) {
      const complete = parseLine(line.replace(/\r$/, ''));
      if (complete) events.push(complete);
    }
    return events;
  }

  function parseLine(line: string): SseEvent | undefined {
    if (line === '') return completeEvent();
    const colon = line.indexOf(':');
    if (colon === 0) return undefined;
    const field = colon < 0 ? line : line.slice(0, colon);
    const value = colon < 0 ? '' : line.slice(colon + 1).replace(/^ /, '');
    if (field === 'id') id = value;
    else if (field === 'event') event = value;
    else if (field === 'data') data.push(value);
    return undefined;
  }

  function completeEvent(): SseEvent | undefined {
    const complete = {id, event, data: data.join('\n')};
    const empty = data.length === 0;
    event = '';
    data = [];
    return empty ? undefined : complete;
  }

  return {feed};
}
