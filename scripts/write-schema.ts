/** Generates docs/settings.schema.json from the settings schema in the code. */
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import {createSettingsJsonSchema} from '../src/settings/common/check.js';

const file = path.resolve(import.meta.dirname, '../docs/settings.schema.json');
await writeFile(file, `${JSON.stringify(createSettingsJsonSchema(), undefined, '\t')}\n`);
