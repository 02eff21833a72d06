import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import type {Command} from './command.js';
import {done, failure, wrongUsage} from './command_result.js';
import {parseLogLine, type LogLine} from './log_line.js';

const DEFAULT_LIMIT = 1_000;
const HIDDEN = new Set(['event', 'program', 'reqId', 'logLevel', 'pid']);

/** Searches log files for everything about a request or a customer. */
export const REQUESTS_FIND: Command = {
  usage: 'requests find <...files>',
  help: 'Find log lines of a request, or of all requests of a customer',
  options: [
    {flag: '--request <id>', help: 'Request id'},
    {flag: '--customer <name>', help: 'Customer name'},
    {flag: '--limit <n>', help: `Lines shown, ${DEFAULT_LIMIT} by default`},
  ],
  examples: [
    'requests find --request 6f1c router.log',
    'requests find --customer ana /var/log/wl/*.log --json',
  ],
  run: async (_ctx, {rest, text}) => {
    const request = text('request');
    const customer = text('customer');
    if ((request === undefined) === (customer === undefined)) {
      return wrongUsage(
        'exactly one of --request and --customer is needed',
        'See "wlctl requests find --help".',
      );
    }
    const limit = Number(text('limit') ?? DEFAULT_LIMIT);
    if (!Number.isInteger(limit) || limit < 1) {
      return wrongUsage('--limit is not a whole number above 0', '');
    }
    try {
      const ids = new Set<string>();
      if (request !== undefined) ids.add(request);
      // Only some lines of a request name its customer.
      else await scan(rest, line => collect(ids, line, customer ?? ''));
      const found: LogLine[] = [];
      await scan(rest, line => {
        if (!ids.has(line.context.reqId)) return true;
        found.push(line);
        return found.length < limit;
      });
      found.sort((a, b) => a.time - b.time);
      return done({
        columns: ['time', 'event', 'request', 'message', 'fields'],
        rows: found.map(({time, context, message}) => [
          new Date(time).toISOString(),
          context.event,
          context.reqId,
          message,
          fieldsText(context),
        ]),
        notes: found.length === limit ? [`first ${limit} lines`] : [],
        json: {lines: found},
      });
    } catch (err) {
      const what = `cannot be read (${(err as Error).message})`;
      const where = rest.join(' ');
      const hint = 'Give log files that you may read.';
      return failure({exit: 'not_found', what, where, hint});
    }
  },
};

function collect(ids: Set<string>, line: LogLine, customer: string): boolean {
  const {reqId} = line.context;
  if (line.context.customer === customer && reqId !== '') ids.add(reqId);
  return true;
}

/** Feeds the structured lines of files to `take` until it answers false. */
async function scan(
  files: readonly string[],
  take: (line: LogLine) => boolean,
): Promise<void> {
  for (const file of files) {
    const lines = createInterface({input: createReadStream(file)});
    for await (const text of lines) {
      const line = parseLogLine(text);
      if (line && !take(line)) return;
    }
  }
}

function fieldsText(context: LogLine['context']): string {
  return Object.entries(context)
    .filter(([key, value]) => !HIDDEN.has(key) && value !== '')
    .map(([key, value]) => `${key}=${String(value)}`)
    .join(' ');
}
