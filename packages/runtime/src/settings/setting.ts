import type {z} from 'zod';

/** The single definition of one key of a settings file. */
export interface Setting<T> {
  schema: z.ZodType<T>;
  /** Default, as text; undefined if the key is required. */
  fallback: string | undefined;
  unit: string;
  /** Allowed values, as shown to the operator. */
  allowed: string;
  help: string;
}

/** Options common to all kinds of settings. */
export interface SettingOptions {
  help: string;
  fallback?: string;
  unit?: string;
}
