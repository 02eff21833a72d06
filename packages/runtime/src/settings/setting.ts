import type {z} from 'zod';

/** One key of a settings file; the only definition of it. */
export interface Setting<T> {
  schema: z.ZodType<T>;
  /** Text that stands for the key if the file leaves it out. */
  fallback: string | undefined;
  unit: string;
  /** Allowed values, as the person who edits the file reads them. */
  allowed: string;
  help: string;
}

/** Options that every kind of setting takes. */
export interface SettingOptions {
  help: string;
  fallback?: string;
  unit?: string;
}
