import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import type {Readable} from 'node:stream';
import type {Command} from './command.js';
import {success, failure, usageError} from './command_result.js';
import {parseLogLine, type LogLine} from './log_line.js';

const DEFAULT_LIMIT = 1_000;
const HIDDEN_FIELDS = new Set(['event', 'program', 'reqId', 'logLevel', 'pid']);

/** Searches log files for the lines of a request or a customer. */
export const REQUESTS_FIND: Command = {
  usage: 'requests find [...files]',
  help: 'Find log lines of a request or a customer; without files, in standard input',
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
  run: async ({stdin}, {variadicArgs: files, option}) => {
    const request = option('request');
    const customer = option('customer');
    if ((request === undefined) === (customer === undefined)) {
      return usageError(
        'exactly one of --request and --customer is needed',
        'See "wlctl requests find --help".',
      );
    }
    const limit = Number(option('limit') ?? DEFAULT_LIMIT);
    if (!Number.isInteger(limit) || limit < 1) {
      return usageError('--limit is not a whole number above 0', '');
    }
    try {
      // Only some lines of a request name its customer, and lines without it
      // may come first: lines are filtered after all have been read.
      const ids = new Set(request === undefined ? [] : [request]);
      const lines = await collectLines(files, stdin, line => {
        const {reqId, customer: owner} = line.context;
        if (reqId === '') return false;
        if (owner !== '' && owner === customer) ids.add(reqId);
        return customer !== undefined || ids.has(reqId);
      });
      const found = lines
        .filter(({context}) => ids.has(context.reqId))
        .sort((a, b) => a.time - b.time)
        .slice(0, limit);
      return success({
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
      const message = `cannot be read (${(err as Error).message})`;
      const location = files.join(' ');
      const hint = 'Give log files that you may read.';
      return failure({exit: 'not_found', message, location, hint});
    }
  },
};

/** Collects the structured lines of files that pass a filter. */
async function collectLines(
  files: readonly string[],
  stdin: Readable,
  filter: (line: LogLine) => boolean,
): Promise<LogLine[]> {
  const found: LogLine[] = [];
  const streams =
    files.length > 0 ? files.map(file => createReadStream(file)) : [stdin];
  for (const stream of streams) {
    for await (const text of createInterface({input: stream})) {
      const line = parseLogLine(text);
      if (line && filter(line)) found.push(line);
    }
  }
  return found;
}

function fieldsText(context: LogLine['context']): string {
  return Object.entries(context)
    .filter(([key, value]) => !HIDDEN_FIELDS.has(key) && value !== '')
    .map(([key, value]) => `${key}=${String(value)}`)
    .join(' ');
}
