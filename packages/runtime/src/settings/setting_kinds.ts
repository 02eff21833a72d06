import {z} from 'zod';
import type {Setting, SettingOptions} from './setting.js';

const ADDRESS_PATTERN =
  /^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[0-9a-f:]+\]:\d{1,5}$/;

/** Coercion would take an empty text for 0. */
const NUMBER = z.string().trim().min(1);

/** Non-empty text. */
export function text(options: SettingOptions): Setting<string> {
  return build(z.string().min(1), 'any text', options);
}

/** Text that may be empty. */
export function optionalText(options: SettingOptions): Setting<string> {
  return build(z.string(), 'any text or nothing', options);
}

/** Whole number within a range. */
export function integer(
  min: number,
  max: number,
  options: SettingOptions,
): Setting<number> {
  const schema = NUMBER.pipe(z.coerce.number<string>().int().min(min).max(max));
  return build(schema, `whole number from ${min} to ${max}`, options);
}

/** Number within a range. */
export function decimal(
  min: number,
  max: number,
  options: SettingOptions,
): Setting<number> {
  const schema = NUMBER.pipe(z.coerce.number<string>().min(min).max(max));
  return build(schema, `number from ${min} to ${max}`, options);
}

/** One of a fixed set of words. */
export function choice<const T extends [string, ...string[]]>(
  words: T,
  options: SettingOptions,
): Setting<T[number]> {
  const schema = z.enum(words) as unknown as z.ZodType<T[number]>;
  return build(schema, words.join(', '), options);
}

/** Address as `IP:PORT`; port 0 selects any free port. */
export function address(options: SettingOptions): Setting<string> {
  return build(z.string().regex(ADDRESS_PATTERN), 'IP:PORT', options);
}

/** Base address of an HTTP service. */
export function url(options: SettingOptions): Setting<string> {
  return build(z.url({protocol: /^https?$/}), 'http:// address', options);
}

/** Words separated by commas. */
export function list(options: SettingOptions): Setting<string[]> {
  const schema = z.string().transform(value =>
    value
      .split(',')
      .map(word => word.trim())
      .filter(word => word !== ''),
  );
  return build(schema, 'words separated by commas', options);
}

function build<T>(
  schema: z.ZodType<T>,
  allowed: string,
  options: SettingOptions,
): Setting<T> {
  return {
    schema,
    allowed,
    help: options.help,
    unit: options.unit ?? '',
    fallback: options.fallback,
  };
}
