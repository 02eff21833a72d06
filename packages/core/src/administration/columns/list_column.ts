import {Err, Ok, type Result} from '../../shared/result.js';
import {Column} from './column.js';

/** Words that match a pattern, separated by spaces in a cell. */
export class ListColumn extends Column<string[]> {
  constructor(
    private readonly pattern: RegExp,
    override readonly allowed: string,
  ) {
    super();
  }

  override check(value: unknown): Result<string[], string> {
    if (!Array.isArray(value)) return Err('is not a list');
    const words: string[] = [];
    for (const word of value as unknown[]) {
      if (typeof word !== 'string' || !this.pattern.test(word)) {
        return Err(`"${String(word)}" is not allowed`);
      }
      if (words.includes(word)) return Err(`"${word}" is listed twice`);
      words.push(word);
    }
    return Ok(words);
  }

  override format(value: string[]): string {
    return value.join(' ');
  }

  protected override fromText(text: string): unknown {
    return text === '' ? [] : text.split(/\s+/);
  }
}
