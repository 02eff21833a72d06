import {z} from 'zod';

const LOG_LINE = z.object({
  context: z.looseObject({
    event: z.string(),
    program: z.string().default(''),
    reqId: z.string().default(''),
    customer: z.string().default(''),
  }),
  message: z.string(),
  time: z.number(),
});

/** One structured log line. */
export type LogLine = z.infer<typeof LOG_LINE>;

/** Parses a line; undefined if it is not a structured log line. */
export function parseLogLine(line: string): LogLine | undefined {
  try {
    const parsed = LOG_LINE.safeParse(JSON.parse(line));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
