/** Fields of a log line: never prompt text, never a key. */
export type LogFields = Record<string, string | number | boolean>;
