/** Writes a model as load reports do, `NAME@VERSION`. */
export function modelKey(model: string, version: string): string {
  return `${model}@${version}`;
}
