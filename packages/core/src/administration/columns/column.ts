import type {Result} from '../../shared/result.js';

/** One column of a row type: parses, validates and formats its values. */
export abstract class Column<T> {
  /** Describes the allowed values to operators. */
  abstract readonly allowed: string;

  /** Validates a JSON value; the error says what is wrong with it. */
  abstract check(value: unknown): Result<T, string>;

  /** Converts the text of a cell to a JSON value. */
  protected abstract fromText(text: string): unknown;

  /** Parses the text of a CSV cell or of a command-line assignment. */
  parse(text: string): Result<T, string> {
    return this.check(this.fromText(text.trim()));
  }

  /** Formats a value as the text of a cell, such that `parse` accepts it. */
  format(value: T): string {
    return String(value);
  }
}
