#pragma once

/** The version of comfreypost that --version prints. */
#define CF_VERSION "0.1.0"
