import {Err, Ok, type Result} from '../../shared/result.js';
import {Column} from './column.js';

/** One of a fixed set of words. */
export class ChoiceColumn<T extends string> extends Column<T> {
  override readonly allowed: string;

  constructor(private readonly words: readonly T[]) {
    super();
    this.allowed = words.join(', ');
  }

  override check(value: unknown): Result<T, string> {
    const word = this.words.find(candidate => candidate === value);
    if (word !== undefined) return Ok(word);
    return Err(`"${String(value)}" is not allowed`);
  }

  protected override fromText(text: string): unknown {
    return text;
  }
}
