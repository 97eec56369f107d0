#pragma once

/** The release of comfreypost that every program reports. */
#define CF_VERSION "0.1.0"
