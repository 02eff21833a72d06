import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import type {Readable} from 'node:stream';
import type {Command} from './command.js';
import {done, failure, wrongUsage} from './command_result.js';
import {parseLogLine, type LogLine} from './log_line.js';

const DEFAULT_LIMIT = 1_000;
const HIDDEN = new Set(['event', 'program', 'reqId', 'logLevel', 'pid']);

/** Searches log files for everything about a request or a customer. */
export const REQUESTS_FIND: Command = {
  usage: 'requests find [...files]',
  help: 'Find log lines of a request or a customer, without files in standard input',
  options: [
    {flag: '--request <id>', help: 'Request id'},
    {flag: '--customer <name>', help: 'Customer name'},
    {flag: '--limit <n>', help: `Lines shown, ${DEFAULT_LIMIT} by default`},
  ],
  examples: [
    'requests find --request 6f1c router.log',
    'requests find --request 6f1c < gateway.log',
    'requests find --customer ana /var/log/wl/*.log --json',
  ],
  run: async ({input}, {rest, text}) => {
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
      // Only some lines of a request name its customer, so lines before the
      // first of these are kept until the end.
      const ids = new Set(request === undefined ? [] : [request]);
      const lines = await scan(rest, input, line => {
        const {reqId, customer: owner} = line.context;
        if (reqId === '') return false;
        if (owner !== '' && owner === customer) ids.add(reqId);
        return customer !== undefined || ids.has(reqId);
      });
      const found = lines
        .filter(({context}) => ids.has(context.reqId))
        .slice(0, limit);
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

/** Collects the structured lines of files that are wanted. */
async function scan(
  files: readonly string[],
  input: Readable,
  wanted: (line: LogLine) => boolean,
): Promise<LogLine[]> {
  const found: LogLine[] = [];
  const streams =
    files.length > 0 ? files.map(file => createReadStream(file)) : [input];
  for (const stream of streams) {
    for await (const text of createInterface({input: stream})) {
      const line = parseLogLine(text);
      if (line && wanted(line)) found.push(line);
    }
  }
  return found;
}

function fieldsText(context: LogLine['context']): string {
  return Object.entries(context)
    .filter(([key, value]) => !HIDDEN.has(key) && value !== '')
    .map(([key, value]) => `${key}=${String(value)}`)
    .join(' ');
}
