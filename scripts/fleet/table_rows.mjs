import {createHash} from 'node:crypto';

/** SHA-256 hash of a bearer key, as the table stores it. */
export function keyHash(key) {
  return createHash('sha256').update(key).digest('hex');
}

/** Appends an edit to the table stream and returns its offset. */
export async function appendEdit(platformUrl, editId, changes) {
  const edit = {
    type: 'edit',
    editId,
    author: 'setup',
    wallMs: Date.now(),
    changes,
  };
  const res = await fetch(`${platformUrl}/log/table`, {
    method: 'POST',
    body: JSON.stringify(edit),
  });
  if (!res.ok) throw new Error(`table not written: ${res.status}`);
  return (await res.json()).offset;
}

/** Appends rows that do not exist yet to the table stream. */
export function appendRows(platformUrl, rows) {
  const changes = rows.map(row => ({
    key: `${row.type}/${row.name}`,
    base: 0,
    row,
  }));
  return appendEdit(platformUrl, `setup-${process.pid}`, changes);
}
