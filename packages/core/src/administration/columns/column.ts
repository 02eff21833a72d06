import type {Result} from '../../shared/result.js';

/** One column of a row type: how its values are read, checked and written. */
export abstract class Column<T> {
  /** Allowed values, as the person who edits the table reads them. */
  abstract readonly allowed: string;

  /** Checks a JSON value; the error says what is wrong with it. */
  abstract check(value: unknown): Result<T, string>;

  /** Converts the text of a cell to the JSON value that it stands for. */
  protected abstract fromText(text: string): unknown;

  /** Reads the text of a CSV cell or of a command-line assignment. */
  parse(text: string): Result<T, string> {
    return this.check(this.fromText(text.trim()));
  }

  /** Writes a value as the text of a cell; `parse` reads it back. */
  format(value: T): string {
    return String(value);
  }
}
