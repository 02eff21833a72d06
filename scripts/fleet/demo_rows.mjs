import {classRow, customerRow, endpointRow} from './fleet.mjs';

const MODEL_VERSION = '1';

/** Rows for both mixes: classes, customers, models and endpoints. */
export function demoRows(mixes, endpoints) {
  const models = new Set(
    mixes.flatMap(mix => mix.classes.map(cls => cls.model)).filter(Boolean),
  );
  return [
    ...mixes.flatMap(classRows),
    ...mixes.flatMap(customerRows),
    ...[...models].map(modelRow),
    ...endpoints.map(({name, kind, service, url, domain}) =>
      endpointRow(name, kind, service, url, domain),
    ),
  ];
}

function classRows(mix) {
  return mix.classes.map((cls, i) =>
    classRow(
      cls.name,
      cls.model ?? cls.service,
      cls.timeoutMs,
      cls.kind === 'chat',
      {priority: i, objective: mix.objective},
    ),
  );
}

function customerRows(mix) {
  return mix.customers.map(({name, key}) => {
    const classes = mix.classes
      .filter(cls => cls.customers.includes(name))
      .map(cls => cls.name);
    return customerRow(name, key, classes);
  });
}

function modelRow(name) {
  return {
    type: 'model',
    name,
    version: MODEL_VERSION,
    adapters: [],
    minReplicas: 1,
    maxReplicas: 8,
  };
}
